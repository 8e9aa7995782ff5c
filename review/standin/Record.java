import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to record.txt, a line an event, with milliseconds since the start. */
final class Record {
    private static final long START = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    synchronized void line(String format, Object... values) {
        out.printf(Locale.ROOT, "%10.1f  ", now());
        out.printf(Locale.ROOT, format, values);
        out.println();
        out.flush();
    }

    /** Writes a line to the record and to the standard output. */
    void say(String format, Object... values) {
        String text = String.format(Locale.ROOT, format, values);
        line("%s", text);
        System.out.println(text);
    }

    synchronized void close() {
        out.close();
    }
}
