package rampshift.testbed.clients;

/** What one load process has measured in one second of the run. */
final class SecondStatistics {
    private double offeredEarnings;
    private double earnings;
    private long sentCount;
    private long finishedCount;
    private long rejectedCount;
    private long failedCount;

    /** A task has arrived that earns so much if it finishes in time. */
    void onArrival(double offered) {
        offeredEarnings += offered;
    }

    /** An attempt is being sent. */
    void onSent() {
        sentCount++;
    }

    /** An attempt has ended. */
    void onAttemptEnded(ClientOutcome outcome) {
        switch (outcome) {
            case FINISHED -> finishedCount++;
            case REJECTED -> rejectedCount++;
            default -> failedCount++;
        }
    }

    /** A task has finished and has earned so much. */
    void onTaskFinished(double earned) {
        earnings += earned;
    }

    /** Its row in the statistics file: earnings offered, made; attempts sent, finished, rejected, failed. */
    double[] row() {
        return new double[]{offeredEarnings, earnings, sentCount, finishedCount, rejectedCount, failedCount};
    }
}
