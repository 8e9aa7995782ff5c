package rampshift.migrate;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** What a migration did, one line each, as the command prints it. */
final class MigrationReport {
    /** A value that is another in the new configuration. */
    private record Change(String path, String from, String to) {
        @Override
        public String toString() {
            return path + ": " + from + " -> " + to;
        }
    }

    /** A part of the old configuration, and what there is to say of it. */
    private record Remark(String part, String text) {
        @Override
        public String toString() {
            return part + ": " + text;
        }
    }

    private final List<Change> changes = new ArrayList<>();
    private final List<Remark> omissions = new ArrayList<>();
    private final List<Remark> reviews = new ArrayList<>();

    /** A value that is another in the new configuration; null values are absent ones. */
    void changed(String path, Object from, Object to) {
        changes.add(new Change(path, text(from), text(to)));
    }

    /** A part that the new configuration does not hold, and why. */
    void notCarriedOver(String part, String reason) {
        omissions.add(new Remark(part, reason));
    }

    /** A part that was carried over as it was and may mean something else in the new deployment. */
    void toReview(String part, String note) {
        reviews.add(new Remark(part, note));
    }

    /** Whether the old configuration fits the new deployment as it is. */
    boolean isEmpty() {
        return changes.isEmpty() && omissions.isEmpty();
    }

    void print(PrintStream out) {
        changes.forEach(change -> out.println("changed: " + change));
        omissions.forEach(omission -> out.println("not carried over: " + omission));
        reviews.forEach(review -> out.println("look at: " + review));
    }

    private static String text(Object value) {
        return value == null ? "absent" : String.valueOf(value);
    }
}
