package rampshift.policy;

/** A tested worker, and its value to the task: an idle and good one has the task's own value on top. */
record Candidate(Worker worker, double score) {}
