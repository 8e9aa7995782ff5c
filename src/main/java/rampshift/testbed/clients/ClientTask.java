package rampshift.testbed.clients;

import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;

/**
 * A task of a client, which all of its attempts share.
 *
 * @param number the number of the task within the load process, from 1
 * @param arrival the time, site, work and object of the task
 * @param type the traffic type
 * @param idempotencyKey the idempotency key, 32 hexadecimal digits
 * @param dueAt the time at which the first attempt is due
 */
record ClientTask(long number, Arrival arrival, FleetPlan.TrafficType type, String idempotencyKey,
        Moment dueAt) {

    /** Returns whether a client may retry the task after it may have run. */
    boolean isRepeatable() {
        return type.effect() != FleetPlan.TrafficType.Effect.SIDE_EFFECTING;
    }
}
