package rampshift.testbed.workers;

import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import rampshift.eventlog.EventClock;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;

/**
 * The context that the components of one emulated worker share.
 *
 * @param fleet the context that all workers share
 * @param identity the identity of the worker
 * @param model the model of its machine
 * @param faults its active faults
 * @param reports its load reports
 * @param events receives its events
 * @param random the source of randomness for faults
 */
record WorkerContext(FleetContext fleet, WorkerIdentity identity, WorkerModel model, WorkerFaults faults,
        LoadReports reports, WorkerEventLog events, UniformRandomProvider random) {

    /** Creates the context of a warm worker without jobs and faults. */
    static WorkerContext create(FleetContext fleet, WorkerIdentity identity, UniformRandomProvider random) {
        FleetPlan plan = fleet.plan();
        WorkerModel model = new WorkerModel(identity.machine(), plan.workers().inOrder(), plan.slowStart(),
                EventClock.now());
        return new WorkerContext(fleet, identity, model, new WorkerFaults(), new LoadReports(plan.reports()),
                new WorkerEventLog(fleet.eventLog(), identity.uid()), random);
    }

    /** Draws at random whether an event with a probability, 0 to 1, happens now. */
    boolean happens(double probability) {
        return probability > 0 && random.nextDouble() < probability;
    }

    /** Returns the load report, a JSON object, for a response to a task; empty if responses hold none. */
    Optional<String> inlineReport(Moment now) {
        boolean isInline = fleet.plan().reports().how() == FleetPlan.Reports.How.INLINE;
        return isInline ? reports.current(model, now) : Optional.empty();
    }
}
