package rampshift.testbed.workers;

import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Span;

/**
 * The faults that a worker has now. Probabilities are from 0 to 1. The start of a fault sets its value, the
 * end sets it back.
 */
final class WorkerFaults {
    private double speedFactor = 1;
    private boolean hanging;
    private double errorProbability;
    private double resetBeforeTaskProbability;
    private double resetAfterTaskProbability;
    private double resetWithinResponseProbability;
    private double truncatedResponseProbability;
    private double silenceProbability;
    private Span byteInterval = Span.ZERO;
    private Span reportDelay = Span.ZERO;

    /**
     * Starts or ends a fault.
     *
     * @param fault the fault, of one of the kinds that are faults of a worker
     * @param active whether it starts
     * @throws IllegalArgumentException if the fault is of another kind
     */
    void set(FleetPlan.Fault fault, boolean active) {
        double rate = active ? fault.rate() : 0;
        Span delay = active ? fault.delay() : Span.ZERO;
        switch (fault.what()) {
            case SLOW -> speedFactor = active ? 1 / fault.factor() : 1;
            case NEIGHBOUR -> speedFactor = 1 - rate;
            case HANG, PAUSES -> hanging = active;
            case ERRORS -> errorProbability = rate;
            case RESET_BEFORE -> resetBeforeTaskProbability = rate;
            case RESET_AFTER -> resetAfterTaskProbability = rate;
            case RESET_WITHIN -> resetWithinResponseProbability = rate;
            case HALF_ANSWER -> truncatedResponseProbability = rate;
            case SILENT -> silenceProbability = rate;
            case SLOW_BYTES -> byteInterval = delay;
            case LATE_REPORTS -> reportDelay = delay;
            default -> throw new IllegalArgumentException(fault.what().name());
        }
    }

    /** The share of its machine's speed at which it runs jobs. */
    double speedFactor() {
        return speedFactor;
    }

    /** Whether it runs nothing and answers nothing. */
    boolean isHanging() {
        return hanging;
    }

    /** The probability that a task fails when it starts. */
    double errorProbability() {
        return errorProbability;
    }

    /** The probability that a connection is reset when a request begins to arrive. */
    double resetBeforeTaskProbability() {
        return resetBeforeTaskProbability;
    }

    /** The probability that a connection is reset when its task starts. */
    double resetAfterTaskProbability() {
        return resetAfterTaskProbability;
    }

    /** The probability that a connection is reset in the middle of the last part of a response. */
    double resetWithinResponseProbability() {
        return resetWithinResponseProbability;
    }

    /** The probability that a connection is closed in the middle of the last part of a response. */
    double truncatedResponseProbability() {
        return truncatedResponseProbability;
    }

    /** The probability that nothing is sent in response to a task. */
    double silenceProbability() {
        return silenceProbability;
    }

    /** The time between two bytes of responses to tasks; zero if they are sent together. */
    Span byteInterval() {
        return byteInterval;
    }

    /** By how much load reports are older than usual. */
    Span reportDelay() {
        return reportDelay;
    }
}
