package rampshift.testbed.workers;

import rampshift.time.Span;

/** What is wrong with a worker just now; a trouble sets it, and its end puts it back. */
final class WorkerFaults {
    /** Of the machine's speed. */
    double speed = 1;
    boolean hangs;
    /** Shares of the assignments that end so. */
    double errors;
    double resetBefore;
    double resetAfter;
    double resetWithin;
    double halfAnswers;
    double silent;
    Span drip = Span.ZERO;
}
