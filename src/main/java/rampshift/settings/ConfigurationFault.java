package rampshift.settings;

import java.io.Serializable;

/**
 * One thing that is wrong with a configuration, an operator's file, a fleet file or a command's arguments.
 *
 * @param position the file and, where it is known, the line; null for what stands in no file
 * @param key the path of the key at fault, such as {@code Limits.MostAssignments}; null where no key is at
 * fault
 * @param description one line: the key, what was found and what was expected
 */
public record ConfigurationFault(SourcePosition position, String key,
        String description) implements Serializable {
    /** The same fault, said of that position unless it has one already. */
    ConfigurationFault at(SourcePosition fallback) {
        return position == null ? new ConfigurationFault(fallback, key, description) : this;
    }

    /** The line that users see: the position, where there is one, and the description. */
    public String message() {
        return position == null ? description : position + ": " + description;
    }
}
