package rampshift.testbed.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import jdk.jfr.consumer.RecordedEvent;
import jdk.jfr.consumer.RecordedFrame;
import jdk.jfr.consumer.RecordingFile;

/**
 * The CPU time of a dispatcher's I/O thread by part of the program and by method, as shares of the samples in
 * a recording of Java Flight Recorder.
 */
final class CpuProfile {
    private static final Set<String> SAMPLE_EVENTS = Set.of("jdk.ExecutionSample", "jdk.NativeMethodSample");
    private static final int MAX_METHODS = 15;
    private static final String IO_THREAD_PREFIX = "io I/O";
    private static final String POLL_METHOD = "EPoll.wait";
    private static final String PROGRAM_PACKAGE = "rampshift.";
    private static final String STAGES_PACKAGE = "pipeline";
    private static final String UNDERTOW_PACKAGE = "io.undertow.";
    private static final String UNDERTOW = "undertow";
    private static final String OTHER_CODE = "xnio and the JDK";

    private final Map<String, Integer> samplesByPart = new TreeMap<>();
    private final Map<String, Integer> samplesByMethod = new TreeMap<>();
    private int samples;

    private CpuProfile() {}

    /**
     * Reads a recording.
     *
     * @throws IOException if the file cannot be read, or is not a recording
     */
    static CpuProfile read(Path recording) throws IOException {
        CpuProfile profile = new CpuProfile();
        try (RecordingFile events = new RecordingFile(recording)) {
            while (events.hasMoreEvents()) {
                RecordedEvent event = events.readEvent();
                if (SAMPLE_EVENTS.contains(event.getEventType().getName()) && isOnIoThread(event)) {
                    profile.add(event.getStackTrace().getFrames());
                }
            }
        }
        return profile;
    }

    private static boolean isOnIoThread(RecordedEvent event) {
        return event.getStackTrace() != null && !event.getStackTrace().getFrames().isEmpty()
                && event.getThread("sampledThread").getJavaName().startsWith(IO_THREAD_PREFIX);
    }

    private void add(List<RecordedFrame> stack) {
        String runningMethod = methodName(stack.get(0));
        if (runningMethod.contains(POLL_METHOD)) {
            return;
        }
        samples++;
        samplesByPart.merge(part(stack), 1, Integer::sum);
        String method = stack.stream().map(CpuProfile::methodName)
                .filter(name -> name.startsWith(PROGRAM_PACKAGE)).findFirst()
                .map(name -> name.substring(PROGRAM_PACKAGE.length())).orElse(runningMethod);
        samplesByMethod.merge(method, 1, Integer::sum);
    }

    /** Returns the part of the innermost frame that belongs to Undertow or to this program. */
    private static String part(List<RecordedFrame> stack) {
        for (RecordedFrame frame : stack) {
            String type = typeName(frame);
            if (type.startsWith(PROGRAM_PACKAGE)) {
                return programPart(type);
            }
            if (type.startsWith(UNDERTOW_PACKAGE)) {
                return UNDERTOW;
            }
        }
        return OTHER_CODE;
    }

    /** Returns the package of a class of this program; within the pipeline, with the class of the stage. */
    private static String programPart(String type) {
        String[] names = type.substring(PROGRAM_PACKAGE.length()).split("[.$]");
        boolean isStage = names[0].equals(STAGES_PACKAGE) && names.length > 1;
        return isStage ? names[0] + "." + names[1] : names[0];
    }

    private static String typeName(RecordedFrame frame) {
        return frame.getMethod().getType().getName();
    }

    private static String methodName(RecordedFrame frame) {
        return typeName(frame) + "." + frame.getMethod().getName();
    }

    /** Prints the shares by part and by method, the largest first. */
    void print(PrintStream out) {
        out.println(samples + " samples of the I/O thread at work");
        print(samplesByPart, Integer.MAX_VALUE, out);
        out.println("by method:");
        print(samplesByMethod, MAX_METHODS, out);
    }

    private void print(Map<String, Integer> counts, int maxRows, PrintStream out) {
        counts.entrySet().stream().sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
                .limit(maxRows).forEach(row -> out.printf(Locale.ROOT, "  %5.1f%%  %s%n",
                        100.0 * row.getValue() / Math.max(1, samples), row.getKey()));
    }
}
