package rampshift.leases;

import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * One dispatcher's client of one lease: observes who holds the lease, acquires it once no other dispatcher
 * can act under it, renews it, and knows at any instant whether this dispatcher may act. No two dispatchers
 * ever act at the same time; the proof is in docs/design/leases.md.
 */
final class LeaseClient {
    /** What the client of a lease needs from the dispatcher. */
    interface Context extends ProposerContext {
        /** Returns how much longer this dispatcher waits than the first contender for the lease. */
        Span contentionDelay(String lease);

        void emit(String lease, EventType type, LeaseRecord value);

        /** Reports a change that this process requested and a quorum has accepted. */
        void changeCompleted(String lease, LeaseRecord value, Span elapsed);
    }

    /** Number of takeover steps after the first contender beyond which a contender polls less often. */
    private static final double LATE_CONTENDER_STEPS = 3.5;
    /** Factor by which the poll interval of such a late contender is longer. */
    private static final double LATE_CONTENDER_POLL_FACTOR = 3;

    private final String name;
    private final String self;
    private final long processId;
    private final LeaseTimings timings;
    private final Context context;
    private final RegisterObserver observer = new RegisterObserver();
    private final RegisterWriter writer;
    private boolean holding;
    private long token;
    /**
     * When the change by which this dispatcher holds the lease was requested; the acting time counts from
     * here.
     */
    private Moment heldFrom;
    private Moment pollAt;
    /** Note to be written with the next renewal; null for none. */
    private String pendingNote;
    /** Time until which this dispatcher does not acquire the lease, so that others can; null for no limit. */
    private Moment notBefore;
    private boolean shuttingDown;
    private ChangeFunction requestedChange;
    private Moment requestedChangeDeadline;

    LeaseClient(String name, String self, long processId, LeaseTimings timings, Context context) {
        this.name = name;
        this.self = self;
        this.processId = processId;
        this.timings = timings;
        this.context = context;
        writer = new RegisterWriter(name, processId, timings, context);
    }

    String name() {
        return name;
    }

    /** Returns what this dispatcher has observed of the lease. */
    RegisterObserver observer() {
        return observer;
    }

    /** Returns the writer of this dispatcher's changes to the lease. */
    RegisterWriter writer() {
        return writer;
    }

    /**
     * Returns how long this dispatcher may act under the lease from this instant on; it may not act unless
     * that is positive. To be called immediately before acting.
     */
    Span remaining(Moment now) {
        return holding ? heldFrom.plus(timings.actingTime()).since(now) : Span.ZERO;
    }

    /** Returns the fencing token; valid only while this dispatcher may act. */
    long token() {
        return token;
    }

    boolean isHolding() {
        return holding;
    }

    /**
     * Writes a note with the next renewal, which begins immediately if no change is in flight. While this
     * dispatcher does not hold the lease, the note stays pending until it acquires the lease.
     */
    void writeNote(Moment now, String note) {
        pendingNote = note;
        if (holding && !writer.isBusy()) {
            renew(now);
        }
    }

    /** Requests a change for an operator or for balance, which is retried for one term. */
    void request(Moment now, ChangeFunction change) {
        requestedChange = change;
        requestedChangeDeadline = now.plus(timings.term());
        if (!writer.isBusy()) {
            writer.begin(now, change);
        }
    }

    /** Releases the lease and does not acquire it again. */
    void shutDown(Moment now) {
        shuttingDown = true;
        release(now);
    }

    /** Stops acting, then releases the lease, and does not acquire it for a term so that others can. */
    private void release(Moment now) {
        if (holding) {
            stopActing(EventType.RELEASED);
            notBefore = now.plus(timings.term());
            long released = observer.current().token();
            writer.begin(now, new ChangeFunction.Release(processId, released, context.nextNumber()));
        }
    }

    /** Returns when {@link #onTimer} is to be called next. */
    Moment dueAt() {
        boolean busy = writer.isBusy();
        Moment due = busy ? writer.dueAt() : pollAt == null ? new Moment(0) : pollAt;
        if (holding) {
            due = due.orEarlier(heldFrom.plus(timings.actingTime()));
            return busy ? due : due.orEarlier(renewAt());
        }
        Moment acquireAt = busy ? null : acquireAt();
        return acquireAt == null ? due : due.orEarlier(acquireAt);
    }

    private Moment renewAt() {
        return heldFrom.plus(timings.renewalInterval());
    }

    /** Performs the actions that are due. */
    void onTimer(Moment now) {
        stopActingIfExpired(now);
        handle(now, writer.onTimer(now));
        if (!writer.isBusy() && requestedChange != null) {
            if (requestedChangeDeadline.before(now)) {
                requestedChange = null;
            } else {
                writer.begin(now, requestedChange);
            }
        }
        if (!writer.isBusy()) {
            renewOrAcquire(now);
        }
        schedulePoll(now);
    }

    private void renewOrAcquire(Moment now) {
        if (holding) {
            if (!now.before(renewAt())) {
                renew(now);
            }
            return;
        }
        Moment acquireAt = acquireAt();
        if (acquireAt == null || now.before(acquireAt)) {
            return;
        }
        LeaseRecord current = observer.current();
        if (current.isHeldBy(processId)) {
            // A change of this process was accepted after it had timed out: renew it without waiting.
            writer.begin(now, renewal(current.token(), null));
        } else {
            writer.begin(now, new ChangeFunction.Acquire(current, self, processId, context.nextNumber(),
                    timings.term().micros()));
        }
    }

    private void renew(Moment now) {
        writer.begin(now, renewal(token, pendingNote));
    }

    private ChangeFunction renewal(long heldToken, String note) {
        return new ChangeFunction.Renew(self, processId, heldToken, context.nextNumber(),
                timings.term().micros(), note);
    }

    private void schedulePoll(Moment now) {
        if (!isPollDue(now)) {
            return;
        }
        Span late = timings.takeoverStep().times(LATE_CONTENDER_STEPS);
        boolean isLate = observer.current() != null && context.contentionDelay(name).longerThan(late);
        pollAt = now.plus(timings.pollInterval().times(isLate ? LATE_CONTENDER_POLL_FACTOR : 1));
    }

    private boolean isPollDue(Moment now) {
        return pollAt == null || !now.before(pollAt);
    }

    /** Returns whether the register is to be read now; the owner reads several registers with one message. */
    boolean needsPoll(Moment now) {
        return !holding && !writer.isBusy() && isPollDue(now);
    }

    /** Handles an acceptor's reply to an attempt of this lease. */
    void onReply(Moment now, String from, Message.VoteReply reply) {
        stopActingIfExpired(now);
        handle(now, writer.onReply(now, from, reply));
    }

    private void handle(Moment now, RegisterWriter.Outcome outcome) {
        if (outcome instanceof RegisterWriter.Outcome.Chosen chosen) {
            onChosen(now, chosen);
        } else if (outcome instanceof RegisterWriter.Outcome.Inapplicable inapplicable) {
            if (inapplicable.change() instanceof ChangeFunction.Renew && holding) {
                stopActing(EventType.LOST);
            }
            setCurrent(now, inapplicable.current());
        } else if (outcome instanceof RegisterWriter.Outcome.Yielded yielded) {
            notBefore = now.plus(yielded.backoff());
        }
    }

    private void onChosen(Moment now, RegisterWriter.Outcome.Chosen chosen) {
        ChangeFunction change = chosen.change();
        LeaseRecord value = chosen.value();
        context.changeCompleted(name, value, now.since(chosen.requestedAt()));
        setCurrent(now, value);
        if (change instanceof ChangeFunction.Renew renewed) {
            if (renewed.note() != null && renewed.note().equals(pendingNote)) {
                pendingNote = null;
            }
            hold(now, chosen);
        } else if (change instanceof ChangeFunction.Acquire) {
            hold(now, chosen);
        } else if (change.equals(requestedChange)) {
            requestedChange = null;
        }
        if (holding && (shuttingDown || isToBeReleased(value))) {
            release(now);
        } else if (holding && pendingNote != null) {
            renew(now);
        }
    }

    private boolean isToBeReleased(LeaseRecord value) {
        return value.blockMicros() > 0 || (!value.nextHolder().isEmpty() && !value.nextHolder().equals(self));
    }

    /** Holds the lease for the acting time, counted by its own clock from before the change was requested. */
    private void hold(Moment now, RegisterWriter.Outcome.Chosen chosen) {
        boolean wasHolding = holding;
        heldFrom = chosen.requestedAt();
        token = chosen.value().token();
        holding = heldFrom.plus(timings.actingTime()).since(now).longerThan(Span.ZERO);
        if (holding && !wasHolding) {
            context.emit(name, EventType.ACQUIRED, observer.current());
        }
    }

    private void stopActingIfExpired(Moment now) {
        if (holding && !remaining(now).longerThan(Span.ZERO)) {
            stopActing(EventType.EXPIRED);
        }
    }

    private void stopActing(EventType reason) {
        holding = false;
        pendingNote = null;
        context.emit(name, reason, observer.current());
    }

    /** Handles a value that one acceptor, but not necessarily a quorum, has accepted. */
    void onRead(Moment now, LeaseRecord value) {
        if (observer.observe(now, value)) {
            setCurrent(now, value);
        }
    }

    private void setCurrent(Moment now, LeaseRecord value) {
        boolean holderChanged = observer.setCurrent(now, value);
        if (holderChanged && !value.isHeldBy(processId)) {
            context.emit(name, EventType.HOLDER_OBSERVED, value);
        }
    }

    /** Returns when this dispatcher acquires the lease if nothing changes; null for never. */
    private Moment acquireAt() {
        LeaseRecord current = observer.current();
        if (shuttingDown || current == null) {
            return null;
        }
        if (current.isHeldBy(processId)) {
            return observer.currentSince();
        }
        if (current.isFree() && current.nextHolder().equals(self)) {
            return latest(observer.currentSince(), notBefore);
        }
        Moment expiredAt = observer.currentSince().plus(timings.takeoverDelay(current.termMicros()));
        Span contentionDelay = context.contentionDelay(name).times(writer.latencyFactor());
        return latest(expiredAt.plus(contentionDelay), notBefore);
    }

    private static Moment latest(Moment time, Moment notBefore) {
        return notBefore == null || notBefore.before(time) ? time : notBefore;
    }
}
