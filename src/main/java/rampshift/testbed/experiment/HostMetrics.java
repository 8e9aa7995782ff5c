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
    private static final int USER = 1;
    private static final int SYSTEM = 3;
    private static final int IRQ = 6;
    private static final int SOFTIRQ = 7;
    private static final int STEAL = 8;

    /** Reads the current values; both are 0 on a system that does not report them. */
    static HostMetrics read() {
        try {
            String[] fields = Files.readAllLines(CPU_STATISTICS).get(0).trim().split(" +");
            long used = Long.parseLong(fields[USER]) + Long.parseLong(fields[SYSTEM])
                    + Long.parseLong(fields[IRQ]) + Long.parseLong(fields[SOFTIRQ]);
            return new HostMetrics(used, Long.parseLong(fields[STEAL]));
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
        long wanted = used + stolen;
        return wanted <= 0 ? 0 : stolen / (double) wanted;
    }
}
