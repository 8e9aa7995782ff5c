import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The record of one run: what was sent, answered and run, with the milliseconds since its start. */
final class Journal {
    /** One line of the record. */
    record Entry(long at, String who, String what, String detail) {}

    private final long start = System.nanoTime();
    private final List<Entry> entries = new ArrayList<>();

    /** Returns the microseconds since the start of the run. */
    long now() {
        return (System.nanoTime() - start) / 1000;
    }

    synchronized long add(String who, String what, String detail) {
        long at = now();
        entries.add(new Entry(at, who, what, detail));
        return at;
    }

    synchronized List<Entry> entries() {
        return new ArrayList<>(entries);
    }

    /** Writes all entries to a file, one a line. */
    void write(Path file) throws IOException {
        try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(file))) {
            for (Entry entry : entries()) {
                out.printf("%10.3f %-10s %-10s %s%n", entry.at() / 1000.0, entry.who(), entry.what(),
                        entry.detail());
            }
        }
    }
}
