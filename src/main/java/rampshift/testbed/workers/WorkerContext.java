package rampshift.testbed.workers;

import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import rampshift.eventlog.EventClock;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;

/**
 * What the parts of one emulated worker share.
 *
 * @param fleet what all workers share
 * @param identity which worker it is
 * @param model its machine
 * @param faults the faults that it has now
 * @param reports its load reports
 * @param events receives what it observes
 * @param random decides whom its faults affect
 */
record WorkerContext(FleetContext fleet, WorkerIdentity identity, WorkerModel model, WorkerFaults faults,
        LoadReports reports, WorkerEventLog events, UniformRandomProvider random) {

    /** The context of a worker that is warm and has no jobs and no faults. */
    static WorkerContext create(FleetContext fleet, WorkerIdentity identity, UniformRandomProvider random) {
        FleetPlan plan = fleet.plan();
        WorkerModel model = new WorkerModel(identity.machine(), plan.workers().inOrder(), plan.slowStart(),
                EventClock.now());
        return new WorkerContext(fleet, identity, model, new WorkerFaults(), new LoadReports(plan.reports()),
                new WorkerEventLog(fleet.eventLog(), identity.uid()), random);
    }

    /** Decides at random whether something of this probability, 0 to 1, happens now. */
    boolean happens(double probability) {
        return probability > 0 && random.nextDouble() < probability;
    }

    /** The load report that a response to a task holds, as a JSON object; empty if it holds none. */
    Optional<String> inlineReport(Moment now) {
        boolean isInline = fleet.plan().reports().how() == FleetPlan.Reports.How.INLINE;
        return isInline ? reports.current(model, now) : Optional.empty();
    }
}
