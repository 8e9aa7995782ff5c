package rampshift.testbed.experiment;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import rampshift.time.Moment;

/**
 * The lines by which a run controls its fleet and load processes. Each of these prints {@link #READY} once it
 * can start, and then reads the start time of the load from its standard input.
 */
final class RunProtocol {
    /** The line that a process prints once it can start. */
    static final String READY = "ready";

    private static final String START_PREFIX = "go ";

    private RunProtocol() {}

    /** Returns the line that contains the start time of the load. */
    static String startLine(Moment start) {
        return START_PREFIX + start.micros();
    }

    /** Parses the start time of the load; returns empty if the line is null or does not contain one. */
    static Optional<Moment> parseStart(String line) {
        if (line == null || !line.startsWith(START_PREFIX)) {
            return Optional.empty();
        }
        return Optional.of(new Moment(Long.parseLong(line.substring(START_PREFIX.length()))));
    }

    /** Returns a new reader of this process's standard input. */
    static BufferedReader openInput() {
        return new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    }
}
