package rampshift.toml;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import rampshift.settings.ConfigurationException;
import rampshift.settings.ConfigurationFault;
import rampshift.settings.SourcePosition;

/**
 * A TOML file, read strictly: all faults are reported at once, each with its line.
 *
 * @param source what its tables share: name, positions and the faults found so far
 * @param root the file as parsed
 */
public record TomlFile(TomlTable.Source source, JsonNode root) {
    private static final long MAX_FILE_BYTES = 1 << 20;

    /** The text of a file; a {@link ConfigurationException} says why it can't be read. */
    public static String text(Path file) {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw ConfigurationException.ofFile(file.toString(), "over " + MAX_FILE_BYTES + " bytes");
            }
            return Files.readString(file);
        } catch (IOException e) {
            throw ConfigurationException.ofFile(file.toString(),
                    "cannot be read (" + e.getClass().getSimpleName() + ")");
        }
    }

    /**
     * Parses a text; the name stands in messages. Throws a {@link ConfigurationException} for what is no
     * TOML.
     */
    public static TomlFile read(String name, String text) {
        try {
            TomlTable.Source source = new TomlTable.Source(name, new KeyPositions(text), new ArrayList<>());
            return new TomlFile(source, new TomlMapper().readTree(text));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            String description = firstLine(e.getOriginalMessage());
            throw new ConfigurationException(
                    new ConfigurationFault(SourcePosition.ofLine(name, line), null, description));
        }
    }

    private static String firstLine(String text) {
        int end = text.indexOf('\n');
        return end < 0 ? text : text.substring(0, end);
    }

    /** The table that all others are in. */
    public TomlTable top() {
        return new TomlTable(source, root, "");
    }

    /** To be called once all has been read: throws a {@link ConfigurationException} with all faults found. */
    public void throwIfFaulty() {
        if (!source.faults().isEmpty()) {
            throw new ConfigurationException(source.faults());
        }
    }
}
