package rampshift.pipeline;

import rampshift.time.Span;

/**
 * The properties of a task, as its request and the settings state them.
 *
 * @param transactionId the id of the request, which is unique among requests
 * @param type the index of the traffic type in the settings
 * @param tenant the index of the tenant in the settings, or the number of tenants if it is not configured
 * @param nonIdempotent whether the task must not run twice
 * @param deduplicationWindow how long workers drop duplicates of the task, counted from the first attempt
 *     that may have run; null unless the task has an idempotency key
 * @param slots the number of slots that the task takes of a worker
 * @param memory the memory that the task takes of a worker, in the unit of the load reports
 */
record TaskDescription(String transactionId, int type, int tenant, boolean nonIdempotent,
        Span deduplicationWindow,
        double slots, double memory) {}
