package rampshift.testbed.experiment;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The earnings in one second of a run.
 *
 * @param possible what the tasks that arrived in it would have earned if they had finished in time
 * @param earned what the tasks that finished in it have earned
 */
record EarningsInSecond(double possible, double earned) {
    /** No earnings. */
    static final EarningsInSecond NONE = new EarningsInSecond(0, 0);

    private static final int POSSIBLE = 0;
    private static final int EARNED = 1;

    /** Reads one row of the seconds in the file of a load process. */
    static EarningsInSecond read(JsonNode row) {
        return new EarningsInSecond(row.get(POSSIBLE).doubleValue(), row.get(EARNED).doubleValue());
    }

    /** The sum of the two. */
    EarningsInSecond plus(EarningsInSecond other) {
        return new EarningsInSecond(possible + other.possible, earned + other.earned);
    }
}
