package rampshift.testbed.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * The clients' counts of tasks and attempts of one or more traffic types.
 *
 * @param tasks the number of tasks
 * @param inTime the number of tasks that finished in time
 * @param possibleEarnings the earnings of the tasks if all of them had finished in time
 * @param earnings the actual earnings of the tasks
 * @param ends the number of attempts by outcome; has an entry for each outcome
 */
record TrafficCounts(double tasks, double inTime, double possibleEarnings, double earnings,
        Map<TaskEnd, Double> ends) {

    private static final String TASKS = "tasks";
    private static final String IN_TIME = "in_time";
    private static final String POSSIBLE_EARNINGS = "asked";
    private static final String EARNINGS = "earned";

    /** Reads the counts of one traffic type from the counts file of a load process. */
    static TrafficCounts read(JsonNode fields) {
        return new TrafficCounts(fields.path(TASKS).doubleValue(), fields.path(IN_TIME).doubleValue(),
                fields.path(POSSIBLE_EARNINGS).doubleValue(), fields.path(EARNINGS).doubleValue(),
                countEnds(end -> fields.path(end.field()).doubleValue()));
    }

    /** Returns the sum of several counts. */
    static TrafficCounts sum(Collection<TrafficCounts> counts) {
        return new TrafficCounts(sum(counts, TrafficCounts::tasks), sum(counts, TrafficCounts::inTime),
                sum(counts, TrafficCounts::possibleEarnings), sum(counts, TrafficCounts::earnings),
                countEnds(end -> sum(counts, one -> one.ended(end))));
    }

    private static double sum(Collection<TrafficCounts> counts, ToDoubleFunction<TrafficCounts> field) {
        return counts.stream().mapToDouble(field).sum();
    }

    private static Map<TaskEnd, Double> countEnds(ToDoubleFunction<TaskEnd> count) {
        Map<TaskEnd, Double> ends = new EnumMap<>(TaskEnd.class);
        for (TaskEnd end : TaskEnd.values()) {
            ends.put(end, count.applyAsDouble(end));
        }
        return ends;
    }

    /** Returns the sum of these counts and others. */
    TrafficCounts plus(TrafficCounts other) {
        return new TrafficCounts(tasks + other.tasks, inTime + other.inTime,
                possibleEarnings + other.possibleEarnings, earnings + other.earnings,
                countEnds(end -> ended(end) + other.ended(end)));
    }

    /** Returns the number of attempts with the given outcome. */
    double ended(TaskEnd end) {
        return ends.get(end);
    }

    /** Returns the number of attempts that ended, with any outcome. */
    double endedInAnyWay() {
        return ends.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Returns the number of attempts that neither finished nor got a rejection or another 5xx response. */
    double failedOtherwise() {
        return ended(TaskEnd.TURNED_DOWN) + ended(TaskEnd.BROKEN) + ended(TaskEnd.UNREACHABLE)
                + ended(TaskEnd.NO_ANSWER);
    }

    /** Writes the counts with the field names that {@link #read} reads. */
    void write(ObjectNode fields) {
        fields.put(TASKS, tasks).put(IN_TIME, inTime).put(POSSIBLE_EARNINGS, possibleEarnings).put(EARNINGS,
                earnings);
        for (TaskEnd end : TaskEnd.values()) {
            fields.put(end.field(), ended(end));
        }
    }
}
