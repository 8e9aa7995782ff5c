package rampshift.policy;

import rampshift.time.Moment;

/**
 * One entry of an endpoint list.
 *
 * @param zone the row of its zone in the settings, or one past all of them where they don't name it
 * @param cell the small group of workers that drop repeats together
 * @param kind the row of its kind in the settings, or one past all of them where they don't name it
 * @param startedAt when its process started; zero where that is not told
 * @param weight what it can do, relative to others; live weights fall with its load
 */
public record ListedWorker(long id, int zone, int cell, int kind, EndpointState state, Moment startedAt,
        double weight) {}
