package rampshift.policy;

import rampshift.time.Span;

/**
 * A client's request to run a task.
 *
 * @param type index of its traffic type in the settings
 * @param tenant index of its tenant's quota in the settings
 * @param runHint running time on a standard core as the client expects it; zero where that is not known
 * @param slots number of slots that it takes at a worker; less than 1 counts as 1
 * @param memory memory that it takes at a worker, in the unit of load reports
 * @param remainingTime time until the client's deadline
 */
public record TaskRequest(int type, int tenant, Span runHint, double slots, double memory,
        Span remainingTime) {}
