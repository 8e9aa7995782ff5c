package rampshift.testbed.workers;

/**
 * The lease under which a task was submitted.
 *
 * @param lease the name of the lease
 * @param number the fencing token of its holder
 */
record LeaseToken(String lease, long number) {}
