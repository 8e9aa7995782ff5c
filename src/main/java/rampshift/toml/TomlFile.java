package rampshift.toml;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;

/** A TOML file, read strictly: all that is wrong with it is told at once, each with its line. */
public record TomlFile(TomlTable.Source source, JsonNode root) {
    private static final long LARGEST = 1 << 20;

    /** The text of a file, or a Fault that says why it can't be had. */
    public static String text(Path file) {
        try {
            if (Files.size(file) > LARGEST) {
                throw new ConfigurationException(file + ": over " + LARGEST + " bytes");
            }
            return Files.readString(file);
        } catch (IOException e) {
            throw new ConfigurationException(
                    file + ": cannot be read (" + e.getClass().getSimpleName() + ")");
        }
    }

    /** Throws a Fault where the text is no TOML. */
    public static TomlFile read(String name, String text) {
        try {
            return new TomlFile(new TomlTable.Source(name, new KeyPositions(text), new ArrayList<>()),
                    new TomlMapper().readTree(text));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new ConfigurationException(
                    name + ":" + line + ": " + e.getOriginalMessage().split("\n")[0]);
        }
    }

    /** The table that all others are in. */
    public TomlTable top() {
        return new TomlTable(source, root, "");
    }

    /** Once all was read: throws a Fault with all that was wrong. */
    public void sound() {
        if (!source.faults().isEmpty()) {
            throw new ConfigurationException(source.faults());
        }
    }
}
