package rampshift.testbed.workers;

import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Span;

/**
 * The active faults of a worker. Probabilities are from 0 to 1. The start of a fault sets a value, its end
 * restores the default, even if another fault that sets the same value is still active.
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
     * @param fault the fault
     * @param active whether the fault starts
     * @throws IllegalArgumentException if the fault is not a worker fault
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

    /** Returns the factor by which the machine's speed is multiplied. */
    double speedFactor() {
        return speedFactor;
    }

    /** Returns whether the worker neither runs jobs nor responds. */
    boolean isHanging() {
        return hanging;
    }

    /** Returns the probability that a task fails when it starts. */
    double errorProbability() {
        return errorProbability;
    }

    /** Returns the probability that a connection is reset when a request begins to arrive. */
    double resetBeforeTaskProbability() {
        return resetBeforeTaskProbability;
    }

    /** Returns the probability that a connection is reset when its task starts. */
    double resetAfterTaskProbability() {
        return resetAfterTaskProbability;
    }

    /** Returns the probability that a connection is reset in the middle of the last part of a response. */
    double resetWithinResponseProbability() {
        return resetWithinResponseProbability;
    }

    /** Returns the probability that a connection is closed in the middle of the last part of a response. */
    double truncatedResponseProbability() {
        return truncatedResponseProbability;
    }

    /** Returns the probability that nothing is sent in response to a task. */
    double silenceProbability() {
        return silenceProbability;
    }

    /** Returns the time between two bytes of responses to tasks; zero if they are sent together. */
    Span byteInterval() {
        return byteInterval;
    }

    /** Returns the delay of load reports. */
    Span reportDelay() {
        return reportDelay;
    }
}
