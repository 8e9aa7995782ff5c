package rampshift.testbed.experiment;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The earnings in one second of a run.
 *
 * @param possible the earnings of the tasks that arrived in this second if all of them had finished in time
 * @param earned the actual earnings of the tasks that finished in this second
 */
record EarningsInSecond(double possible, double earned) {
    /** No earnings. */
    static final EarningsInSecond NONE = new EarningsInSecond(0, 0);

    private static final int POSSIBLE_INDEX = 0;
    private static final int EARNED_INDEX = 1;

    /** Reads the earnings of one second from a row in the counts file of a load process. */
    static EarningsInSecond read(JsonNode row) {
        return new EarningsInSecond(row.get(POSSIBLE_INDEX).doubleValue(),
                row.get(EARNED_INDEX).doubleValue());
    }

    /** Returns the sum of these earnings and others. */
    EarningsInSecond plus(EarningsInSecond other) {
        return new EarningsInSecond(possible + other.possible, earned + other.earned);
    }
}
