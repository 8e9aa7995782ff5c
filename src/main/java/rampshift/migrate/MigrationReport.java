package rampshift.migrate;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** The report of a migration, which the command prints with one line per item. */
final class MigrationReport {
    /** A value that differs in the new configuration. */
    private record Change(String path, String from, String to) {
        @Override
        public String toString() {
            return path + ": " + from + " -> " + to;
        }
    }

    /** A remark on a part of the old configuration. */
    private record Remark(String part, String text) {
        @Override
        public String toString() {
            return part + ": " + text;
        }
    }

    private final List<Change> changes = new ArrayList<>();
    private final List<Remark> omissions = new ArrayList<>();
    private final List<Remark> reviews = new ArrayList<>();

    /** Records a value that differs in the new configuration; null stands for an absent value. */
    void addChange(String path, Object from, Object to) {
        changes.add(new Change(path, text(from), text(to)));
    }

    /** Records a part that the new configuration does not contain, and the reason. */
    void addOmission(String part, String reason) {
        omissions.add(new Remark(part, reason));
    }

    /** Records a part that was copied unchanged and may have another meaning in the new deployment. */
    void addReview(String part, String note) {
        reviews.add(new Remark(part, note));
    }

    /** Returns whether the old configuration is valid for the new deployment without a change. */
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
