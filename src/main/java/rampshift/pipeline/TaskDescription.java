package rampshift.pipeline;

import rampshift.time.Span;

/**
 * What a request says about its task.
 *
 * @param transactionId the id of the request; no other request has the same
 * @param type the index of the traffic type in the settings
 * @param tenant the index of the tenant in the settings, or the number of tenants if it is not configured
 * @param nonIdempotent the task must not run twice
 * @param deduplicationWindow for how long workers drop a repetition, from the first attempt that may have
 *     run; null unless the task has an idempotency key
 * @param slots how many slots of a worker the task takes
 * @param memory how much memory of a worker the task takes, in the unit of the load reports
 */
record TaskDescription(String transactionId, int type, int tenant, boolean nonIdempotent,
        Span deduplicationWindow,
        double slots, double memory) {}
