package rampshift.testbed.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What this machine says of itself, where it does. Under a host that gives cores to others, latencies are its
 * too.
 */
record HostMetrics(long worked, long stolen) {
    private static final Path STAT = Path.of("/proc/stat");

    static HostMetrics now() {
        try {
            // cpu user nice system idle iowait irq softirq steal ...
            String[] fields = Files.readAllLines(STAT).get(0).trim().split(" +");
            return new HostMetrics(
                    Long.parseLong(fields[1]) + Long.parseLong(fields[3]) + Long.parseLong(fields[6])
                            + Long.parseLong(fields[7]),
                    Long.parseLong(fields[8]));
        } catch (IOException | RuntimeException e) {
            return new HostMetrics(0, 0);      // another system: nothing is known
        }
    }

    /** The share of the wanted time that was stolen since; 0 where nothing is known. */
    double stolenSince(HostMetrics before) {
        long mine = worked - before.worked;
        long lost = stolen - before.stolen;
        return mine + lost <= 0 ? 0 : lost / (double) (mine + lost);
    }
}
