package rampshift.settings;

import java.io.Serializable;

/**
 * One fault of a configuration, an operator's file, a fleet file or the arguments of a command.
 *
 * @param position the file and, if known, the line; null if the fault is not in a file
 * @param key the path of the key at fault, such as {@code Limits.MostAssignments}; null if the fault is not
 *     of a key
 * @param description one line: the key, what was found and what was expected
 */
public record ConfigurationFault(SourcePosition position, String key,
        String description) implements Serializable {
    /** Returns the same fault, with the fallback position if it has none. */
    ConfigurationFault at(SourcePosition fallback) {
        return position == null ? new ConfigurationFault(fallback, key, description) : this;
    }

    /** Returns the line that is shown to users: the position, if there is one, and the description. */
    public String message() {
        return position == null ? description : position + ": " + description;
    }
}
