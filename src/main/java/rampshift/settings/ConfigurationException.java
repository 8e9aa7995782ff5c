package rampshift.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A configuration, an operator's file, a fleet file or a command's arguments that can't be used. Its
 * message has one line for each fault; the faults say file, line, key and what was expected.
 */
public final class ConfigurationException extends InvalidInputException {
    private static final long serialVersionUID = 1L;
    private final List<ConfigurationFault> faults;

    /** Of all faults that were found, one at least. */
    public ConfigurationException(List<ConfigurationFault> faults) {
        super(faults.stream().map(ConfigurationFault::message).collect(Collectors.joining("\n")));
        this.faults = List.copyOf(faults);
    }

    /** Of one fault. */
    public ConfigurationException(ConfigurationFault fault) {
        this(List.of(fault));
    }

    /** Of one fault that neither a file nor a key is known for. */
    public ConfigurationException(String description) {
        this(new ConfigurationFault(null, null, description));
    }

    /** Of a file as a whole. */
    public static ConfigurationException ofFile(String file, String description) {
        return new ConfigurationException(
                new ConfigurationFault(SourcePosition.ofFile(file), null, description));
    }

    /** Of a key whose file is not known here; see {@link #in}. */
    public static ConfigurationException ofKey(String key, String description) {
        return new ConfigurationException(new ConfigurationFault(null, key, description));
    }

    /** What is wrong, in the order in which it was found. */
    public List<ConfigurationFault> faults() {
        return faults;
    }

    /** The same faults, said of that file where they name none yet. */
    public ConfigurationException in(String file) {
        SourcePosition position = SourcePosition.ofFile(file);
        return new ConfigurationException(faults.stream().map(fault -> fault.at(position)).toList());
    }
}
