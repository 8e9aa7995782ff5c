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
 * A TOML file. Reading is strict and reports all faults together, each with its line.
 *
 * @param source the name of the file, the positions of its keys and the faults found so far
 * @param root the parsed file
 */
public record TomlFile(TomlTable.Source source, JsonNode root) {
    private static final long MAX_FILE_BYTES = 1 << 20;

    /** Returns the text of a file; throws {@link ConfigurationException} if it can't be read. */
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
     * Parses a text; the name appears in error messages. Throws {@link ConfigurationException} if the text is
     * not valid TOML.
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

    /** Returns the root table. */
    public TomlTable top() {
        return new TomlTable(source, root, "");
    }

    /** Throws {@link ConfigurationException} with all faults, if any; call this after reading everything. */
    public void throwIfFaulty() {
        if (!source.faults().isEmpty()) {
            throw new ConfigurationException(source.faults());
        }
    }
}
