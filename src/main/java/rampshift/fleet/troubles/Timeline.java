package rampshift.fleet.troubles;

import java.util.List;
import java.util.concurrent.TimeUnit;
import rampshift.fleet.ledger.Chances;
import rampshift.ledger.Ledger;
import rampshift.ledger.Stamp;
import rampshift.fleet.plan.Plan;
import rampshift.fleet.workers.Fleet;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Brings the plan's troubles over a fleet, each at its time, and takes them away again. */
public final class Timeline {
    private static final double PAUSE_EVERY = 20;       // pauses' lengths apart

    private final Plan plan;
    private final Fleet fleet;
    private final Ledger ledger;

    public Timeline(Plan plan, Fleet fleet, Ledger ledger) {
        this.plan = plan;
        this.fleet = fleet;
        this.ledger = ledger;
    }

    /** Begins to count at that moment. */
    public void start(long seed, Moment zero) {
        int number = 0;
        for (Plan.Trouble trouble : plan.troubles()) {
            number++;
            if (trouble.ofDispatchers()) {
                continue;
            }
            List<String> names = Draw.of(trouble, fleet.names(trouble.site()), Chances.of(seed, "trouble " + number));
            at(zero.plus(trouble.at()), () -> begin(trouble, names));
            at(zero.plus(trouble.at()).plus(trouble.length()), () -> end(trouble, names));
        }
    }

    private void at(Moment when, Runnable what) {
        fleet.thread().executeAfter(what, Math.max(0, Math.round(when.since(Stamp.now()).millis())),
                TimeUnit.MILLISECONDS);
    }

    private void begin(Plan.Trouble trouble, List<String> names) {
        mark(trouble, "begins", names);
        switch (trouble.what()) {
            case DRAIN -> names.forEach(fleet::drain);
            case LEAVE, CRASH -> names.forEach(fleet::leave);
            case CUT -> fleet.cut(trouble.site(), true);
            case ROSTER_SILENT -> fleet.rosterSilent(true);
            case ROSTER_OLD -> fleet.rosterOld(trouble.delay());
            case PAUSES -> pause(trouble, names, Stamp.now().plus(trouble.length()));
            default -> names.forEach(n -> fleet.ill(n, trouble, true));
        }
    }

    private void end(Plan.Trouble trouble, List<String> names) {
        mark(trouble, "ends", names);
        switch (trouble.what()) {
            case DRAIN -> names.stream().filter(n -> !fleet.down(n)).forEach(fleet::leave);
            case LEAVE -> { }
            case CRASH -> names.forEach(fleet::comeBack);
            case CUT -> fleet.cut(trouble.site(), false);
            case ROSTER_SILENT -> fleet.rosterSilent(false);
            case ROSTER_OLD -> fleet.rosterOld(Span.ZERO);
            case PAUSES -> { }
            default -> names.forEach(n -> fleet.ill(n, trouble, false));
        }
    }

    private void pause(Plan.Trouble trouble, List<String> names, Moment until) {
        if (!Stamp.now().before(until)) {
            return;
        }
        names.forEach(n -> fleet.ill(n, trouble, true));
        at(Stamp.now().plus(trouble.delay()), () -> names.forEach(n -> fleet.ill(n, trouble, false)));
        at(Stamp.now().plus(trouble.delay().times(PAUSE_EVERY)), () -> pause(trouble, names, until));
    }

    private void mark(Plan.Trouble trouble, String which, List<String> names) {
        ledger.line(Stamp.now(), "trouble", trouble.what().name().toLowerCase(java.util.Locale.ROOT), which,
                names.isEmpty() ? trouble.site() : names.size() > 3 ? names.size() + "-workers"
                : String.join(",", names));
    }
}
