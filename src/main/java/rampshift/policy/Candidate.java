package rampshift.policy;

/**
 * A worker that was tested for idleness, and its score: the value of an attempt, plus the value of the task
 * if the worker is idle and good, see {@link ExpectedValue#isGood}.
 */
record Candidate(Worker worker, double score) {}
