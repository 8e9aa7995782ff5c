package rampshift.policy;

import rampshift.time.Span;

/**
 * What a client asks for.
 *
 * @param type the row of its traffic type in the settings
 * @param tenant the row of its tenant's quota in the settings
 * @param runHint what it should run on a standard core; zero where that is not known
 * @param slots that it takes at a worker; less than 1 counts as 1
 * @param memory that it takes at a worker, in the unit of load reports
 * @param remainingTime how long the client still waits
 */
public record TaskRequest(int type, int tenant, Span runHint, double slots, double memory,
        Span remainingTime) {}
