package rampshift.testbed.experiment;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import rampshift.time.Moment;

/**
 * The lines by which a run controls its fleet and load processes: each prints {@link #READY} once it can
 * start, and then reads from its standard input when the load is to start.
 */
final class RunProtocol {
    /** The line that a process prints once it can start. */
    static final String READY = "ready";

    private static final String START_PREFIX = "go ";

    private RunProtocol() {}

    /** The line that tells when the load starts. */
    static String startLine(Moment start) {
        return START_PREFIX + start.micros();
    }

    /** When the load starts, out of a line that may be null; empty if the line does not tell that. */
    static Optional<Moment> parseStart(String line) {
        if (line == null || !line.startsWith(START_PREFIX)) {
            return Optional.empty();
        }
        return Optional.of(new Moment(Long.parseLong(line.substring(START_PREFIX.length()))));
    }

    /** A reader of this process's standard input. */
    static BufferedReader openInput() {
        return new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    }
}
