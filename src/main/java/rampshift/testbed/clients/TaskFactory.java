package rampshift.testbed.clients;

import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;

/** Creates the tasks of one load process, and the identifiers of tasks and attempts. */
final class TaskFactory {
    private static final int ATTEMPT_ID_LENGTH = 20;

    private final FleetPlan plan;
    private final UniformRandomProvider random;
    private long lastNumber;

    /**
     * Creates the factory.
     *
     * @param plan the plan with the traffic types
     * @param random the source of random identifiers
     */
    TaskFactory(FleetPlan plan, UniformRandomProvider random) {
        this.plan = plan;
        this.random = random;
    }

    /** Creates the task of an arrival, with the next number and a unique idempotency key. */
    ClientTask create(Arrival arrival, Moment dueAt) {
        lastNumber++;
        return new ClientTask(lastNumber, arrival, plan.types().get(arrival.type()), randomHex(), dueAt);
    }

    /** Returns a new identifier for an attempt: 20 hexadecimal digits. */
    String newAttemptId() {
        return randomHex().substring(0, ATTEMPT_ID_LENGTH);
    }

    private String randomHex() {
        return String.format(Locale.ROOT, "%016x%016x", random.nextLong(), random.nextLong());
    }
}
