package rampshift.testbed.faults;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.links.LinkFaults;
import rampshift.testbed.links.LinkProxy;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.random.RandomStreams;
import rampshift.testbed.workers.Fleet;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Brings the plan's troubles over a fleet, each at its time, and takes them away again. */
public final class FaultInjector {
    private static final double NARROWEST = 1000;       // bytes a second, times the factor
    private static final double PAUSE_EVERY = 20;       // pauses' lengths apart

    private final FleetPlan plan;
    private final Fleet fleet;
    private final EventLog ledger;
    private final LinkProxy ways;

    /** Ways: null where the dispatchers don't know each other. */
    public FaultInjector(FleetPlan plan, Fleet fleet, LinkProxy ways, EventLog ledger) {
        this.plan = plan;
        this.fleet = fleet;
        this.ways = ways;
        this.ledger = ledger;
    }

    /** Begins to count at that moment. */
    public void start(long seed, Moment zero) {
        int number = 0;
        for (FleetPlan.Trouble trouble : plan.troubles()) {
            number++;
            if (trouble.ofDispatchers()) {
                continue;
            }
            List<String> names = ofDispatchersNamed(trouble) ? trouble.names()
                    : FaultTargets.of(trouble, fleet.names(trouble.site()),
                            RandomStreams.of(seed, "trouble " + number));
            at(zero.plus(trouble.at()), () -> begin(trouble, names));
            at(zero.plus(trouble.at()).plus(trouble.length()), () -> end(trouble, names));
        }
    }

    private static boolean ofDispatchersNamed(FleetPlan.Trouble trouble) {
        return trouble.ofWays() || trouble.what() == FleetPlan.Trouble.Kind.ROSTER_SILENT
                || trouble.what() == FleetPlan.Trouble.Kind.ROSTER_OLD;
    }

    private void at(Moment when, Runnable what) {
        fleet.thread().executeAfter(what, Math.max(0, Math.round(when.since(EventClock.now()).millis())),
                TimeUnit.MILLISECONDS);
    }

    private void begin(FleetPlan.Trouble trouble, List<String> names) {
        mark(trouble, "begins", names);
        switch (trouble.what()) {
            case DRAIN -> names.forEach(fleet::drain);
            case LEAVE, CRASH -> names.forEach(fleet::leave);
            case CUT -> {
                fleet.cut(trouble.site(), true);
                ways(trouble, w -> w.setCut(true));
            }
            case ROSTER_SILENT -> fleet.rosterSilent(names, true);
            case ROSTER_OLD -> fleet.rosterOld(names, trouble.delay());
            case WAY_CUT -> ways(trouble, w -> w.setCut(true));
            case WAY_FLAPPING -> flap(trouble, true, EventClock.now().plus(trouble.length()));
            case WAY_LOSSY -> ways(trouble, w -> w.setLossShare(trouble.rate()));
            case WAY_SLOW -> ways(trouble, w -> w.setDelay(trouble.delay()));
            case WAY_SCATTERED -> ways(trouble, w -> w.setJitter(trouble.delay()));
            case WAY_REPEATING -> ways(trouble, w -> w.setDuplicateShare(trouble.rate()));
            case WAY_NARROW -> ways(trouble, w -> w.setBandwidth(NARROWEST * trouble.factor()));
            case PAUSES -> pause(trouble, names, EventClock.now().plus(trouble.length()));
            default -> names.forEach(n -> fleet.ill(n, trouble, true));
        }
    }

    private void end(FleetPlan.Trouble trouble, List<String> names) {
        mark(trouble, "ends", names);
        switch (trouble.what()) {
            case DRAIN -> names.stream().filter(n -> !fleet.down(n)).forEach(fleet::leave);
            case LEAVE -> {
            }
            case CRASH -> names.forEach(fleet::comeBack);
            case CUT -> {
                fleet.cut(trouble.site(), false);
                ways(trouble, w -> w.setCut(false));
            }
            case ROSTER_SILENT -> fleet.rosterSilent(names, false);
            case ROSTER_OLD -> fleet.rosterOld(names, Span.ZERO);
            case WAY_CUT, WAY_FLAPPING -> ways(trouble, w -> w.setCut(false));
            case WAY_LOSSY -> ways(trouble, w -> w.setLossShare(0));
            case WAY_SLOW -> ways(trouble, w -> w.setDelay(Span.ZERO));
            case WAY_SCATTERED -> ways(trouble, w -> w.setJitter(Span.ZERO));
            case WAY_REPEATING -> ways(trouble, w -> w.setDuplicateShare(0));
            case WAY_NARROW -> ways(trouble, w -> w.setBandwidth(0));
            case PAUSES -> {
            }
            default -> names.forEach(n -> fleet.ill(n, trouble, false));
        }
    }

    /** Of a site: all ways between its dispatchers and the others, both directions. */
    private void ways(FleetPlan.Trouble trouble, Consumer<LinkFaults> change) {
        int[] siteOf = fleet.siteOfDispatchers();
        for (int from = 0; ways != null && from < siteOf.length; from++) {
            for (int to = 0; to < siteOf.length; to++) {
                boolean ofSite = !trouble.site().isEmpty()
                        && here(trouble, siteOf[from]) != here(trouble, siteOf[to]);
                int a = from;
                int b = to;
                if (a != b && (ofSite || trouble.names().stream().anyMatch(p -> pair(p, a, b)))) {
                    ways.changeFaults(a, b, change);
                }
            }
        }
    }

    private boolean here(FleetPlan.Trouble trouble, int site) {
        return plan.sites().get(site).name().equals(trouble.site());
    }

    private static boolean pair(String pair, int from, int to) {
        int mark = Math.max(pair.indexOf('>'), pair.indexOf('='));
        String left = pair.substring(0, mark);
        String right = pair.substring(mark + 1);
        return (is(left, from) && is(right, to))
                || (pair.charAt(mark) == '=' && is(left, to) && is(right, from));
    }

    private static boolean is(String name, int dispatcher) {
        return name.equals("*") || name.equals("d" + (dispatcher + 1));
    }

    private void flap(FleetPlan.Trouble trouble, boolean cut, Moment until) {
        if (EventClock.now().before(until)) {
            ways(trouble, w -> w.setCut(cut));
            at(EventClock.now().plus(trouble.delay()), () -> flap(trouble, !cut, until));
        }
    }

    private void pause(FleetPlan.Trouble trouble, List<String> names, Moment until) {
        if (!EventClock.now().before(until)) {
            return;
        }
        names.forEach(n -> fleet.ill(n, trouble, true));
        at(EventClock.now().plus(trouble.delay()), () -> names.forEach(n -> fleet.ill(n, trouble, false)));
        at(EventClock.now().plus(trouble.delay().times(PAUSE_EVERY)), () -> pause(trouble, names, until));
    }

    private void mark(FleetPlan.Trouble trouble, String which, List<String> names) {
        ledger.append(EventClock.now(), "trouble", trouble.what().name().toLowerCase(java.util.Locale.ROOT),
                which,
                names.isEmpty() ? trouble.site()
                        : names.size() > 3 ? names.size() + "-workers"
                                : String.join(",", names));
    }
}
