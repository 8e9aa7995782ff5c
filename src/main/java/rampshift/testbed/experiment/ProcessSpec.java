package rampshift.testbed.experiment;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * How a child process is started.
 *
 * @param name the name of the process in messages
 * @param command the program and its arguments
 * @param environment variables beside those of this process
 * @param directory its working directory; null for that of this process
 * @param outputFile the file to which its standard output and standard error are written
 */
record ProcessSpec(String name, List<String> command, Map<String, String> environment, Path directory,
        Path outputFile) {
    /** A process with the environment and the working directory of this one. */
    ProcessSpec(String name, List<String> command, Path outputFile) {
        this(name, command, Map.of(), null, outputFile);
    }
}
