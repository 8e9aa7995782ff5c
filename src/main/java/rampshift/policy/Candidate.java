package rampshift.policy;

/**
 * A worker tested for idleness and its score: the value of an attempt, plus the task's value if idle and
 * good.
 */
record Candidate(Worker worker, double score) {}
