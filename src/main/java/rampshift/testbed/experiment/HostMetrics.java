package rampshift.testbed.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The CPU time of all cores of this machine since it started, in clock ticks. Stolen time increases the
 * latencies that are measured on this machine.
 *
 * @param usedTicks the time in which cores ran in user or kernel mode or handled interrupts
 * @param stolenTicks the time in which cores had work but the hypervisor gave them to other machines
 */
record HostMetrics(long usedTicks, long stolenTicks) {
    private static final Path CPU_STATISTICS = Path.of("/proc/stat");
    // The first line: cpu user nice system idle iowait irq softirq steal ...
    private static final int USER_FIELD = 1;
    private static final int SYSTEM_FIELD = 3;
    private static final int IRQ_FIELD = 6;
    private static final int SOFTIRQ_FIELD = 7;
    private static final int STEAL_FIELD = 8;

    /** Reads the current values; both are 0 on a system that does not report them. */
    static HostMetrics read() {
        try {
            String[] fields = Files.readAllLines(CPU_STATISTICS).get(0).trim().split(" +");
            long used = Long.parseLong(fields[USER_FIELD]) + Long.parseLong(fields[SYSTEM_FIELD])
                    + Long.parseLong(fields[IRQ_FIELD]) + Long.parseLong(fields[SOFTIRQ_FIELD]);
            return new HostMetrics(used, Long.parseLong(fields[STEAL_FIELD]));
        } catch (IOException | RuntimeException e) {
            return new HostMetrics(0, 0);
        }
    }

    /**
     * Returns the stolen share of the CPU time demanded since an earlier reading, 0 to 1; 0 where it is not
     * known.
     */
    double stolenShareSince(HostMetrics earlier) {
        long used = usedTicks - earlier.usedTicks;
        long stolen = stolenTicks - earlier.stolenTicks;
        long demanded = used + stolen;
        return demanded <= 0 ? 0 : stolen / (double) demanded;
    }
}
