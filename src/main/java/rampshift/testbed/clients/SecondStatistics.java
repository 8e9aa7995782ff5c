package rampshift.testbed.clients;

/** The statistics of one load process for one second of the run. */
final class SecondStatistics {
    private double offeredEarnings;
    private double earnings;
    private long sentCount;
    private long finishedCount;
    private long rejectedCount;
    private long failedCount;

    /** Records the arrival of a task, with its earnings if it finishes in time. */
    void onArrival(double offered) {
        offeredEarnings += offered;
    }

    /** Counts an attempt that is sent. */
    void onSent() {
        sentCount++;
    }

    /** Counts an attempt by its outcome; any but finished and rejected counts as failed. */
    void onAttemptEnded(ClientOutcome outcome) {
        switch (outcome) {
            case FINISHED -> finishedCount++;
            case REJECTED -> rejectedCount++;
            default -> failedCount++;
        }
    }

    /** Records the earnings of a finished task. */
    void onTaskFinished(double earned) {
        earnings += earned;
    }

    /** Returns the row of the file: earnings offered, made; attempts sent, finished, rejected, failed. */
    double[] row() {
        return new double[]{offeredEarnings, earnings, sentCount, finishedCount, rejectedCount, failedCount};
    }
}
