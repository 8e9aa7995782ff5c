package rampshift.testbed.experiment;

import java.util.List;
import java.util.Locale;

/**
 * Throttles a process to a share of a core by means of a shell process that suspends and resumes it in each
 * time slice. On a busy machine, the process may get less CPU time within its part of the slice than its
 * share. If it is still runnable then, it stays resumed until it has used its share, for about ten further
 * slices at most.
 */
final class CpuThrottle {
    private static final double SLICE_SECONDS = 0.1;
    private static final double NANOS_PER_SECOND = 1e9;
    /**
     * The shell script, in which {@code $0} is the id of the throttled process. Its format arguments are the
     * CPU time per slice in nanoseconds, and the seconds for which the process is suspended and resumed.
     */
    @SuppressWarnings("InlineFormatString") // the script is too long to be inlined in the call
    private static final String SCRIPT = """
            read_cpu_time() {
                used=0
                for task in /proc/$0/task/*; do
                    ran=0
                    read -r ran rest 2>/dev/null < "$task/schedstat"
                    used=$((used + ran))
                done
            }
            is_runnable() {
                for task in /proc/$0/task/*; do
                    line=
                    read -r line 2>/dev/null < "$task/stat"
                    case "$line" in *") R "*) return 0 ;; esac
                done
                return 1
            }
            while read_cpu_time && due=$((used + %d)) && kill -STOP $0 2>/dev/null; do
                sleep %.3f
                kill -CONT $0
                sleep %.3f
                extra=0
                while read_cpu_time && [ $used -lt $due ] && is_runnable && [ $extra -lt 1000 ]; do
                    sleep 0.001
                    extra=$((extra + 1))
                done
            done
            """;

    private CpuThrottle() {}

    /**
     * Returns the command of the shell process. Whoever ends it must resume the throttled process.
     *
     * @param share the share of a core, 0 to 1
     * @param pid the id of the process to be throttled
     */
    static List<String> command(double share, long pid) {
        String script = String.format(Locale.ROOT, SCRIPT, (long) (SLICE_SECONDS * share * NANOS_PER_SECOND),
                SLICE_SECONDS * (1 - share), SLICE_SECONDS * share);
        return List.of("sh", "-c", script, String.valueOf(pid));
    }
}
