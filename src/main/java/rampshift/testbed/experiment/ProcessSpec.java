package rampshift.testbed.experiment;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The parameters for starting a child process.
 *
 * @param name the name of the process in messages
 * @param command the program and its arguments
 * @param environment variables in addition to those of this process
 * @param directory the working directory; null for that of this process
 * @param outputFile the file to which its standard output and standard error are written
 */
record ProcessSpec(String name, List<String> command, Map<String, String> environment, Path directory,
        Path outputFile) {
    /** Creates the parameters of a process with the environment and the working directory of this one. */
    ProcessSpec(String name, List<String> command, Path outputFile) {
        this(name, command, Map.of(), null, outputFile);
    }
}
