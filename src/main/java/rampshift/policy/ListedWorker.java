package rampshift.policy;

import rampshift.time.Moment;

/**
 * One entry of an endpoint list.
 *
 * @param zone index of its zone in the settings; the number of zones there if it is not among them
 * @param cell the small group of workers that share the deduplication of repeated tasks
 * @param kind index of its kind in the settings; the number of kinds there if it is not among them
 * @param startedAt when its process started; zero where that is not known
 * @param weight its capacity relative to other workers; live weights fall with its load
 */
public record ListedWorker(long id, int zone, int cell, int kind, EndpointState state, Moment startedAt,
        double weight) {}
