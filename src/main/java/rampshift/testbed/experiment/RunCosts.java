package rampshift.testbed.experiment;

import java.util.List;

/**
 * The resources used by the dispatchers of a run.
 *
 * @param cpuSeconds the CPU time of each dispatcher under load, in seconds
 * @param residentKb the resident memory of each dispatcher at the end of the load, in KiB
 * @param stolenShare the share of the CPU time demanded on this machine that its hypervisor gave to other
 * machines, 0 to 1
 */
record RunCosts(List<Double> cpuSeconds, List<Long> residentKb, double stolenShare) {

    private static final double KB_PER_MB = 1024;

    /** The costs of a run whose dispatchers were not measured. */
    static final RunCosts NOT_MEASURED = new RunCosts(List.of(), List.of(), 0);

    /** Returns the CPU time of all dispatchers, in seconds. */
    double totalCpuSeconds() {
        return cpuSeconds.stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Returns the resident memory of the largest dispatcher, in MiB; 0 if none was measured. */
    double maxResidentMb() {
        return residentKb.stream().mapToLong(Long::longValue).max().orElse(0) / KB_PER_MB;
    }
}
