package rampshift.testbed.faults;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.links.LinkProxy;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.random.RandomStreams;
import rampshift.testbed.workers.Fleet;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Starts and ends the faults of a plan at their times, except the faults of dispatcher processes, which the
 * code that started these processes injects.
 */
public final class FaultInjector {
    /** The bandwidth of a link under the fault {@code WAY_NARROW} with a factor of 1. */
    private static final double NARROW_LINK_BYTES_PER_SECOND = 1000;
    /**
     * The time from the start of one pause to the start of the next, as a multiple of the length of a pause.
     */
    private static final double PAUSE_INTERVAL_FACTOR = 20;
    /** The maximum number of targets that the event log lists by name. */
    private static final int MAX_RECORDED_NAMES = 3;

    private final FleetPlan plan;
    private final Fleet fleet;
    private final DispatcherLinks links;
    private final EventLog eventLog;

    /**
     * Creates an injector.
     *
     * @param plan the plan of the fleet
     * @param fleet the workers and discovery agents
     * @param proxy the links between dispatchers; null if dispatchers do not know one another
     * @param eventLog receives the start and end of each fault
     */
    public FaultInjector(FleetPlan plan, Fleet fleet, LinkProxy proxy, EventLog eventLog) {
        this.plan = plan;
        this.fleet = fleet;
        this.eventLog = eventLog;
        links = new DispatcherLinks(proxy, fleet.dispatcherSites().stream()
                .map(site -> plan.sites().get(site).name()).toList());
    }

    /**
     * Schedules all faults except those of dispatcher processes. May be called on any thread.
     *
     * @param seed the seed of the run, from which targets are drawn
     * @param startTime the time to which the times of the plan are relative
     */
    public void start(long seed, Moment startTime) {
        int number = 0;
        for (FleetPlan.Fault fault : plan.faults()) {
            number++;
            if (fault.affectsDispatchers()) {
                continue;
            }
            List<String> targets = namesDispatchers(fault) ? fault.names()
                    : FaultTargets.of(fault, fleet.workerNames(fault.site()),
                            RandomStreams.of(seed, "trouble " + number));
            Moment begin = startTime.plus(fault.at());
            runAt(begin, () -> begin(fault, targets));
            runAt(begin.plus(fault.length()), () -> end(fault, targets));
        }
    }

    /** Returns whether the names of a fault are those of dispatchers or links instead of workers. */
    private static boolean namesDispatchers(FleetPlan.Fault fault) {
        return fault.affectsLinks() || fault.what() == FleetPlan.Fault.Kind.ROSTER_SILENT
                || fault.what() == FleetPlan.Fault.Kind.ROSTER_OLD;
    }

    private void runAt(Moment when, Runnable action) {
        long delayMs = Math.max(0, Math.round(when.since(EventClock.now()).millis()));
        fleet.thread().executeAfter(action, delayMs, TimeUnit.MILLISECONDS);
    }

    private void begin(FleetPlan.Fault fault, List<String> targets) {
        logTransition(fault, "begins", targets);
        switch (fault.what()) {
            case DRAIN -> targets.forEach(fleet::drain);
            case LEAVE, CRASH -> targets.forEach(fleet::terminate);
            case CUT -> setSiteCut(fault, true);
            case ROSTER_SILENT -> fleet.setDiscoverySilent(targets, true);
            case ROSTER_OLD -> fleet.setDiscoveryStaleness(targets, fault.delay());
            case WAY_CUT -> setLinksCut(fault, true);
            case WAY_FLAPPING -> flap(fault, true, EventClock.now().plus(fault.length()));
            case WAY_LOSSY -> links.changeFaults(fault, link -> link.setLossShare(fault.rate()));
            case WAY_SLOW -> links.changeFaults(fault, link -> link.setDelay(fault.delay()));
            case WAY_SCATTERED -> links.changeFaults(fault, link -> link.setJitter(fault.delay()));
            case WAY_REPEATING -> links.changeFaults(fault, link -> link.setDuplicateShare(fault.rate()));
            case WAY_NARROW -> {
                double bytesPerSecond = NARROW_LINK_BYTES_PER_SECOND * fault.factor();
                links.changeFaults(fault, link -> link.setBandwidth(bytesPerSecond));
            }
            case PAUSES -> pause(fault, targets, EventClock.now().plus(fault.length()));
            default -> setWorkerFault(fault, targets, true);
        }
    }

    private void end(FleetPlan.Fault fault, List<String> targets) {
        logTransition(fault, "ends", targets);
        switch (fault.what()) {
            case DRAIN -> targets.stream().filter(uid -> !fleet.isDown(uid)).forEach(fleet::terminate);
            case CRASH -> targets.forEach(fleet::restart);
            case CUT -> setSiteCut(fault, false);
            case ROSTER_SILENT -> fleet.setDiscoverySilent(targets, false);
            case ROSTER_OLD -> fleet.setDiscoveryStaleness(targets, Span.ZERO);
            case WAY_CUT, WAY_FLAPPING -> setLinksCut(fault, false);
            case WAY_LOSSY -> links.changeFaults(fault, link -> link.setLossShare(0));
            case WAY_SLOW -> links.changeFaults(fault, link -> link.setDelay(Span.ZERO));
            case WAY_SCATTERED -> links.changeFaults(fault, link -> link.setJitter(Span.ZERO));
            case WAY_REPEATING -> links.changeFaults(fault, link -> link.setDuplicateShare(0));
            case WAY_NARROW -> links.changeFaults(fault, link -> link.setBandwidth(0));
            case LEAVE, PAUSES -> {
                // A worker that left is not restarted, and each pause ends by its own timer.
            }
            default -> setWorkerFault(fault, targets, false);
        }
    }

    private void setSiteCut(FleetPlan.Fault fault, boolean cut) {
        fleet.setCut(fault.site(), cut);
        setLinksCut(fault, cut);
    }

    private void setLinksCut(FleetPlan.Fault fault, boolean cut) {
        links.changeFaults(fault, link -> link.setCut(cut));
    }

    private void setWorkerFault(FleetPlan.Fault fault, List<String> targets, boolean active) {
        targets.forEach(uid -> fleet.setFault(uid, fault, active));
    }

    /** Cuts and restores links alternately until the fault ends. */
    private void flap(FleetPlan.Fault fault, boolean cut, Moment end) {
        Moment now = EventClock.now();
        if (now.before(end)) {
            setLinksCut(fault, cut);
            runAt(now.plus(fault.delay()), () -> flap(fault, !cut, end));
        }
    }

    /** Pauses workers repeatedly until the fault ends. */
    private void pause(FleetPlan.Fault fault, List<String> targets, Moment end) {
        Moment now = EventClock.now();
        if (!now.before(end)) {
            return;
        }
        setWorkerFault(fault, targets, true);
        runAt(now.plus(fault.delay()), () -> setWorkerFault(fault, targets, false));
        runAt(now.plus(fault.delay().times(PAUSE_INTERVAL_FACTOR)), () -> pause(fault, targets, end));
    }

    private void logTransition(FleetPlan.Fault fault, String transition, List<String> targets) {
        String kind = fault.what().name().toLowerCase(Locale.ROOT);
        eventLog.append(EventClock.now(), "trouble", kind, transition, describe(fault, targets));
    }

    private static String describe(FleetPlan.Fault fault, List<String> targets) {
        if (targets.isEmpty()) {
            return fault.site();
        }
        return targets.size() > MAX_RECORDED_NAMES ? targets.size() + "-workers"
                : String.join(",", targets);
    }
}
