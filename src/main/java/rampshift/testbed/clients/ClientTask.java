package rampshift.testbed.clients;

import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;

/**
 * A task, as its client sees it: the same through all of its attempts.
 *
 * @param number its number within the load process, from 1
 * @param arrival when and where it arrived, and what it asks for
 * @param type its traffic type
 * @param idempotencyKey 32 hexadecimal digits
 * @param dueAt when the client first wanted to send it
 */
record ClientTask(long number, Arrival arrival, FleetPlan.TrafficType type, String idempotencyKey,
        Moment dueAt) {

    /** Whether a client may send a task again that may have run. */
    boolean isRepeatable() {
        return type.effect() != FleetPlan.TrafficType.Effect.SIDE_EFFECTING;
    }
}
