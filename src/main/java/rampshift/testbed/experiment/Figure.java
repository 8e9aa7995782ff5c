package rampshift.testbed.experiment;

/** A metric of a run by which arms are compared. */
enum Figure {
    /** The share of the possible earnings that were earned. */
    SERVED_EARNINGS("earnings served, %"),
    /** The number of tasks that finished per second. */
    FINISHED_RATE("finished a second"),
    /** The share of the clients' attempts that were rejected. */
    BOUNCED("bounced, %"),
    /** The median latency. */
    LATENCY_MEDIAN("latency p50, ms"),
    /** The 99th percentile of latency. */
    LATENCY_P99("latency p99, ms"),
    /** The median latency in excess of the run time at the worker. */
    ADDED_MEDIAN("added p50, ms"),
    /** The 99th percentile of latency in excess of the run time at the worker. */
    ADDED_P99("added p99, ms"),
    /** The CPU time of all dispatchers per request. */
    CPU_PER_REQUEST("CPU a try, us"),
    /** The assignments beyond the first one of each request, as a share of the requests. */
    COPIES("copies, % of tries"),
    /** The longest time from the drain of a worker to a new assignment to it. */
    LAST_SEND_AFTER_DRAIN("last send after a drain, ms"),
    /** The resident memory of the largest dispatcher. */
    RESIDENT_MEMORY("resident MB");

    private static final double MICROS_PER_SECOND = 1e6;

    private final String label;

    Figure(String label) {
        this.label = label;
    }

    /** Returns the name, with the unit, in tables, reports and result files. */
    String label() {
        return label;
    }

    /** Returns the value for a run, in the unit named by the label. */
    double of(RunOutcome run) {
        return switch (this) {
            case SERVED_EARNINGS -> 100 * run.servedEarningsShare();
            case FINISHED_RATE -> run.finishedPerSecond();
            case BOUNCED -> bouncedPercent(run);
            case LATENCY_MEDIAN -> run.percentileMs(LatencyKind.LATENCY, 50);
            case LATENCY_P99 -> run.percentileMs(LatencyKind.LATENCY, 99);
            case ADDED_MEDIAN -> run.percentileMs(LatencyKind.ADDED, 50);
            case ADDED_P99 -> run.percentileMs(LatencyKind.ADDED, 99);
            case CPU_PER_REQUEST -> cpuMicrosPerRequest(run);
            case COPIES -> copiesPercent(run);
            case LAST_SEND_AFTER_DRAIN -> run.verdict().lastAttemptAfterDrainMs();
            case RESIDENT_MEMORY -> run.costs().maxResidentMb();
        };
    }

    private static double bouncedPercent(RunOutcome run) {
        TrafficCounts counts = run.load().totalCounts();
        return 100 * counts.ended(TaskEnd.BOUNCED) / Math.max(1, counts.endedInAnyWay());
    }

    private static double cpuMicrosPerRequest(RunOutcome run) {
        return MICROS_PER_SECOND * run.costs().totalCpuSeconds() / Math.max(1, run.load().sentRequests());
    }

    private static double copiesPercent(RunOutcome run) {
        return 100.0 * run.verdict().repeatedAttempts() / Math.max(1, run.verdict().requests());
    }
}
