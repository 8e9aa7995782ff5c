package rampshift.testbed.workers;

import rampshift.time.Span;

/**
 * A task as a worker receives it.
 *
 * @param transactionId the client's identifier of the request; all attempts of a dispatcher share it
 * @param idempotencyKey the idempotency key; a dash if the request has none
 * @param type the index of its type in the plan
 * @param work the run time on a machine of speed 1
 * @param slots the number of slots that the task occupies
 * @param memory the memory that the task occupies, in the unit of the plan's machines
 * @param leaseToken the lease under which it was submitted; null if there is none
 */
record Task(String transactionId, String idempotencyKey, int type, Span work, double slots, double memory,
        LeaseToken leaseToken) {}
