package rampshift.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown if a configuration, an operator's file, a fleet file or the arguments of a command are invalid. The
 * message has one line for each fault, with the file, the line, the key and the expected value as far as they
 * are known.
 */
public final class ConfigurationException extends InvalidInputException {
    private static final long serialVersionUID = 1L;
    private final List<ConfigurationFault> faults;

    /** Creates the exception for all faults that were found, at least one. */
    public ConfigurationException(List<ConfigurationFault> faults) {
        super(faults.stream().map(ConfigurationFault::message).collect(Collectors.joining("\n")));
        this.faults = List.copyOf(faults);
    }

    /** Creates the exception for one fault. */
    public ConfigurationException(ConfigurationFault fault) {
        this(List.of(fault));
    }

    /** Creates the exception for one fault without a known file or key. */
    public ConfigurationException(String description) {
        this(new ConfigurationFault(null, null, description));
    }

    /** Returns the exception for a file as a whole. */
    public static ConfigurationException ofFile(String file, String description) {
        return new ConfigurationException(
                new ConfigurationFault(SourcePosition.ofFile(file), null, description));
    }

    /** Returns the exception for a key whose file is not known to the caller; see {@link #in}. */
    public static ConfigurationException ofKey(String key, String description) {
        return new ConfigurationException(new ConfigurationFault(null, key, description));
    }

    /** Returns the faults in the order in which they were found. */
    public List<ConfigurationFault> faults() {
        return faults;
    }

    /** Returns the same faults, with this file for those that have no position yet. */
    public ConfigurationException in(String file) {
        SourcePosition position = SourcePosition.ofFile(file);
        return new ConfigurationException(faults.stream().map(fault -> fault.at(position)).toList());
    }
}
