package rampshift.testbed.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import jdk.jfr.consumer.RecordedEvent;
import jdk.jfr.consumer.RecordedFrame;
import jdk.jfr.consumer.RecordingFile;

/**
 * Where a dispatcher's CPU time goes, out of a recording that the JVM made itself: samples of the I/O thread
 * by the
 * part of this program that was at work, and by method.
 */
final class CpuProfile {
    private static final int MOST_METHODS = 15;
    private static final String OWN = "rampshift.";

    private final Map<String, Integer> parts = new TreeMap<>();
    private final Map<String, Integer> methods = new TreeMap<>();
    private int all;

    static CpuProfile read(Path recording) throws IOException {
        CpuProfile p = new CpuProfile();
        try (RecordingFile in = new RecordingFile(recording)) {
            while (in.hasMoreEvents()) {
                RecordedEvent event = in.readEvent();
                String type = event.getEventType().getName();
                if (type.equals("jdk.ExecutionSample") || type.equals("jdk.NativeMethodSample")) {
                    p.add(event);
                }
            }
        }
        return p;
    }

    private void add(RecordedEvent event) {
        if (event.getStackTrace() == null || event.getStackTrace().getFrames().isEmpty()
                || !event.getThread("sampledThread").getJavaName().startsWith("io I/O")) {
            return;
        }
        RecordedFrame top = event.getStackTrace().getFrames().get(0);
        String first = top.getMethod().getType().getName() + "." + top.getMethod().getName();
        if (first.contains("EPoll.wait")) {
            return;         // it sleeps
        }
        all++;
        String part = null;
        String method = null;
        for (RecordedFrame frame : event.getStackTrace().getFrames()) {
            String type = frame.getMethod().getType().getName();
            if (type.startsWith(OWN)) {
                part = part == null ? part(type) : part;
                method = type.substring(OWN.length()) + "." + frame.getMethod().getName();
                break;
            }
            if (part == null && type.startsWith("io.undertow.")) {
                part = "undertow";
            }
        }
        parts.merge(part == null ? "xnio and the JDK" : part, 1, Integer::sum);
        methods.merge(method == null ? first : method, 1, Integer::sum);
    }

    /** The package; of the pipeline the stage. */
    private static String part(String type) {
        String[] names = type.substring(OWN.length()).split("[.$]");
        return names[0].equals("pipeline") && names.length > 1 ? "pipeline." + names[1] : names[0];
    }

    void print(PrintStream out) {
        out.println(all + " samples of the I/O thread at work");
        print(parts, Integer.MAX_VALUE, out);
        out.println("by method:");
        print(methods, MOST_METHODS, out);
    }

    private void print(Map<String, Integer> counts, int most, PrintStream out) {
        counts.entrySet().stream().sorted(Map.Entry.comparingByValue(Comparator.reverseOrder())).limit(most)
                .forEach(e -> out.printf(Locale.ROOT, "  %5.1f%%  %s%n",
                        100.0 * e.getValue() / Math.max(1, all),
                        e.getKey()));
    }
}
