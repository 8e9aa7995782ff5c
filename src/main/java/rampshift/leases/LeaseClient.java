package rampshift.leases;

import java.util.LinkedHashMap;
import java.util.Map;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * One dispatcher's part in one lease: it watches who holds it, takes it when nobody can act under it any
 * more, renews
 * it, and knows at any instant whether it may act. Never two act at once: the proof stands in
 * docs/design/leases.md.
 */
final class LeaseClient {
    /** What it needs of what is around it. */
    interface Around extends RegisterChange.Out {
        AcceptorSet keepers();

        /** A number never used before by this process. */
        long number();

        /**
         * How much longer it is to wait than the first of those who would take this one; null: it doesn't
         * want it.
         */
        Span after(String lease, LeaseRecord seen);

        /** Between two attempts that were in each other's way: 0 to 1, drawn. */
        double chance();

        void tell(String lease, String what, LeaseRecord value);

        /** A change of this process's, which a majority has; it took so long from its asking. */
        void done(String lease, LeaseRecord value, Span took);
    }

    private static final int SIGHTINGS = 6;
    private static final double NEAR = 3.5;         // steps: whoever would come later looks more rarely,
    private static final double FAR_LOOKS = 3;      // by this

    private final String name;
    private final String self;
    private final long life;
    private final LeaseTimings rules;
    private final Around around;
    private final Map<LeaseRecord, Moment> sightings = new LinkedHashMap<>();     // when each was first heard of
    private LeaseRecord seen;             // that which most likely stands
    private boolean holding;
    private long token;             // while holding
    private Moment heldFrom;        // before the change was asked for by which it is held
    private RegisterChange change;
    private Moment attemptAt;       // when the present attempt at it began
    private Moment askedAt;         // before the present change was asked for
    private Moment againAt;         // when it is to be tried again; null: an attempt is under way
    private Moment lookAt;
    private Moment heardAt;         // when any keeper last said what stands
    private long highest;
    private double slow = 1;        // how many times longer than usual answers take
    private String note;            // to be written with the next renewal; null for none
    private Ready ready;            // null: the next change has to ask first
    private Moment notBefore;       // it gave it back, or others were at it: they come first; null for never
    private boolean unwanted;       // the dispatcher ends
    private RegisterUpdate wish;            // of an operator
    private Moment wishUntil;

    LeaseClient(String name, String self, long life, LeaseTimings rules, Around around) {
        this.name = name;
        this.self = self;
        this.life = life;
        this.rules = rules;
        this.around = around;
    }

    // ---------------------------------------------------------------- what is asked of it

    String name() {
        return name;
    }

    /** How long it may act from this instant on; not positive: it may not. To be asked at the last moment. */
    Span mayAct(Moment now) {
        return holding ? heldFrom.plus(rules.actFor()).since(now) : Span.ZERO;
    }

    /** The token under which it acts, while it may. */
    long token() {
        return token;
    }

    boolean holding() {
        return holding;
    }

    /** What stands, as far as is known; null for unknown. */
    LeaseRecord seen() {
        return seen;
    }

    /** When what stands was first heard of so, and when a keeper last said anything; null for never. */
    Moment seenAt() {
        return seen == null ? null : sightings.get(seen);
    }

    Moment heardAt() {
        return heardAt;
    }

    /** Waiting for an answer of the keepers. */
    boolean asking() {
        return change != null;
    }

    /** How far the work has come: goes with a renewal, at once. Only while it holds the lease. */
    void note(Moment now, String text) {
        note = text;
        if (holding && change == null) {
            renew(now);
        }
    }

    /** A wish of an operator: REST, WANT. It is tried for one term. */
    void wish(Moment now, RegisterUpdate what) {
        wish = what;
        wishUntil = now.plus(rules.term());
        if (change == null) {
            begin(now, what);
        }
    }

    /**
     * It stops acting now, and gives it back. For balance, or at an end in order, when it wants no more of
     * it.
     */
    void giveBack(Moment now, boolean forGood) {
        unwanted |= forGood;
        if (holding) {
            stop("gives");
            notBefore = now.plus(rules.term());
            begin(now, intent(RegisterUpdate.Kind.RELEASE, null));
        }
    }

    // ---------------------------------------------------------------- time

    /** When it is to be woken next. */
    Moment due() {
        Moment due = change != null ? againAt != null ? againAt : change.until()
                : lookAt == null ? new Moment(0) : lookAt;
        if (holding) {
            due = due.orEarlier(heldFrom.plus(rules.actFor()));
            due = change == null ? due.orEarlier(heldFrom.plus(rules.renewAfter())) : due;
        } else if (change == null && seen != null && takeAt() != null) {
            due = due.orEarlier(takeAt());
        }
        return due;
    }

    void woken(Moment now) {
        if (holding && !mayAct(now).longerThan(Span.ZERO)) {
            stop("lapsed");
        }
        if (change != null) {
            onWithChange(now);
        }
        if (change == null && wish != null) {
            if (wishUntil.before(now)) {
                wish = null;
            } else {
                begin(now, wish);
            }
        }
        if (change == null) {
            if (holding) {
                if (!now.before(heldFrom.plus(rules.renewAfter()))) {
                    renew(now);
                }
            } else if (seen != null && takeAt() != null && !now.before(takeAt())) {
                // What was seen as this process's own, it asked for earlier and gave up hearing of: no
                // waiting for oneself.
                begin(now, seen.of(life) ? intent(RegisterUpdate.Kind.RENEW, null)
                        : intent(RegisterUpdate.Kind.TAKE, null));
            }
        }
        if (lookAt == null || !now.before(lookAt)) {
            Span after = seen == null ? null : around.after(name, seen);
            boolean far = after != null && after.longerThan(rules.step().times(NEAR));
            lookAt = now.plus(rules.lookEvery().times(far ? FAR_LOOKS : 1));
        }
    }

    /** Whether it is to be looked at now: the owner asks the keepers for many at once. */
    boolean looks(Moment now) {
        return !holding && change == null && (lookAt == null || !now.before(lookAt));
    }

    private void onWithChange(Moment now) {
        if (againAt != null) {
            if (!now.before(againAt)) {
                againAt = null;
                attempt(now);
            }
        } else if (!now.before(change.until())) {
            highest = Math.max(highest, change.highest());
            slow = change.refused() ? slow : rules.slower(slow);
            if (change.refused() && change.refusals() == 1) {
                attempt(now);
            } else if (change.refused() && change.intent().kind() == RegisterUpdate.Kind.TAKE) {
                change = null;      // another is at it: two that insist would keep each other from it
                notBefore = now.plus(rules.backOff().times(slow * around.chance()));
            } else if (now.since(askedAt).longerThan(rules.askFor())) {
                // what may still come of it counts from its own asking, by its stamp: nobody counts it
                change = null;
            } else {
                againAt = now.plus(rules.attemptFor(slow).times(around.chance()));
            }
        }
    }

    // ---------------------------------------------------------------- changes

    private RegisterUpdate intent(RegisterUpdate.Kind kind, String text) {
        return new RegisterUpdate(kind, seen, self, life, holding ? token : seen.token(), around.number(),
                rules.term().micros(), text);
    }

    private void renew(Moment now) {
        begin(now, intent(RegisterUpdate.Kind.RENEW, note));
    }

    private void begin(Moment now, RegisterUpdate what) {
        askedAt = now;              // before anything is sent: the term counts from here
        change = new RegisterChange(name, what, life, highest);
        againAt = null;
        Ready known = ready;
        ready = null;
        attemptAt = now;
        if (known != null && what.kind() == RegisterUpdate.Kind.RENEW
                && known.epoch() == around.keepers().epoch()) {
            change.quick(around.keepers(), around.number(), known.ballot(), known.value(),
                    now.plus(rules.attemptFor(slow)), around);
        } else {
            attempt(now);
        }
    }

    /**
     * What a majority has, known from the last change, and the ballot that it promised with it; by which
     * keepers.
     */
    private record Ready(Ballot ballot, LeaseRecord value, long epoch) {}

    private void attempt(Moment now) {
        attemptAt = now;
        change.attempt(around.keepers(), around.number(), now.plus(rules.attemptFor(slow)), around);
    }

    /** An answer to an attempt of this lease's. */
    void answer(Moment now, String from, Message m) {
        if (holding && !mayAct(now).longerThan(Span.ZERO)) {
            stop("lapsed");
        }
        if (change == null || againAt != null || !change.answer(now, from, m, around)) {
            return;
        }
        highest = Math.max(highest, change.highest());
        switch (change.state()) {
            case ASKING -> onWithChange(now);
            case REFUSED -> {
                RegisterChange over = change;
                change = null;
                if (over.intent().kind() == RegisterUpdate.Kind.RENEW && holding) {
                    stop("taken");
                }
                stands(now, over.value());
            }
            case DONE -> done(now);
        }
    }

    private void done(Moment now) {
        RegisterUpdate was = change.intent();
        LeaseRecord value = change.value();
        ready = value.of(life) ? new Ready(change.promised(), value, change.epoch()) : null;
        change = null;
        slow = rules.fitting(slow, now.since(attemptAt));
        around.done(name, value, now.since(askedAt));
        stands(now, value);
        if (was.kind() == RegisterUpdate.Kind.TAKE || was.kind() == RegisterUpdate.Kind.RENEW) {
            if (was.kind() == RegisterUpdate.Kind.RENEW && was.text() != null && was.text().equals(note)) {
                note = null;
            }
            held(now, value);
        } else if (was.equals(wish)) {
            wish = null;
        }
        if (holding && (value.rest() > 0 || !value.wanted().isEmpty() && !value.wanted().equals(self)
                || unwanted)) {
            giveBack(now, unwanted);
        } else if (holding && note != null) {
            renew(now);
        }
    }

    private void held(Moment now, LeaseRecord value) {
        boolean before = holding;
        heldFrom = askedAt;
        token = value.token();
        holding = askedAt.plus(rules.actFor()).since(now).longerThan(Span.ZERO);
        if (holding && !before) {
            around.tell(name, "holds", seen);
        }
    }

    private void stop(String why) {
        holding = false;
        note = null;
        around.tell(name, why, seen);
    }

    /** What a keeper says that it has taken, whether a majority has it or not. */
    void heard(Moment now, LeaseRecord value) {
        heardAt = now;
        if (seen == null || value.version() > seen.version()) {
            stands(now, value);
        } else {
            sighted(now, value);
        }
    }

    /** What a majority has, or had in the way. */
    private void stands(Moment now, LeaseRecord value) {
        heardAt = now;
        sighted(now, value);
        boolean taken =
                seen == null || seen.token() != value.token() || !seen.holder().equals(value.holder());
        seen = value;
        if (taken && !value.of(life)) {
            around.tell(name, "seen", value);
        }
    }

    /** Whoever waits for a value's end waits from its first sighting: its holder asked for it before. */
    private void sighted(Moment now, LeaseRecord value) {
        if (sightings.putIfAbsent(value, now) == null && sightings.size() > SIGHTINGS) {
            sightings.keySet().stream().filter(v -> !v.equals(seen) && !v.equals(value)).findFirst()
                    .ifPresent(sightings::remove);
        }
    }

    /** When it may be taken, and would be; null for never. */
    private Moment takeAt() {
        if (unwanted) {
            return null;
        }
        Moment seenAt = sightings.get(seen);
        if (seen.of(life)) {
            return seenAt;
        }
        Span after = seen.wanted().equals(self) && seen.free() ? Span.ZERO : around.after(name, seen);
        if (after == null) {
            return null;
        }
        Span most = seen.free() && seen.wanted().equals(self) ? Span.ZERO : rules.takeAfter(seen.term());
        Moment at = seenAt.plus(most).plus(after.times(slow));
        return notBefore == null || notBefore.before(at) ? at : notBefore;
    }
}
