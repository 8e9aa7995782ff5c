package rampshift.migrate;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** What a migration did, one line each, as the command prints it. */
final class MigrationReport {
    private final List<String> changed = new ArrayList<>();
    private final List<String> notCarriedOver = new ArrayList<>();
    private final List<String> toReview = new ArrayList<>();

    /** A value that is another in the new configuration; null values are absent ones. */
    void changed(String path, Object from, Object to) {
        changed.add(path + ": " + text(from) + " -> " + text(to));
    }

    /** What the new configuration does not hold, and why. */
    void notCarriedOver(String line) {
        notCarriedOver.add(line);
    }

    /** What was carried over as it was and may mean something else in the new deployment. */
    void toReview(String line) {
        toReview.add(line);
    }

    /** Whether the old configuration fits the new deployment as it is. */
    boolean isEmpty() {
        return changed.isEmpty() && notCarriedOver.isEmpty();
    }

    void print(PrintStream out) {
        changed.forEach(line -> out.println("changed: " + line));
        notCarriedOver.forEach(line -> out.println("not carried over: " + line));
        toReview.forEach(line -> out.println("look at: " + line));
    }

    /** A value as the report shows it. */
    static String text(Object value) {
        return value == null ? "absent" : String.valueOf(value);
    }
}
