package rampshift.leases;

import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Makes the changes of one register, one after another: attempts, their timeouts, retries and backoff. A
 * change that acquires a lease yields to the other contender at its second rejection.
 */
final class RegisterWriter {
    /** How a change ended. */
    sealed interface Outcome {
        /**
         * A quorum has accepted the result.
         *
         * @param requestedAt time before the change was requested, from which the term of the lease counts
         */
        record Chosen(ChangeFunction change, LeaseRecord value, Moment requestedAt) implements Outcome {}

        /** The change does not apply to the value that was found, which a quorum may not have accepted. */
        record Inapplicable(ChangeFunction change, LeaseRecord current) implements Outcome {}

        /** Another contender is acquiring the lease; this one waits for the backoff. */
        record Yielded(Span backoff) implements Outcome {}

        /** The change took too long. A quorum may still accept its result, which does not permit acting. */
        record TimedOut() implements Outcome {}
    }

    private final String register;
    private final long processId;
    private final LeaseTimings timings;
    private final ProposerContext context;
    private Proposer proposer;
    private Moment attemptedAt;
    private Moment requestedAt;
    /** When the next attempt begins; null while an attempt is in progress. */
    private Moment retryAt;
    private long highestRound;
    private double latencyFactor = 1;
    /** What a renewal needs to skip phase 1; null if the next change has to begin with phase 1. */
    private Proposer.Prepared prepared;

    RegisterWriter(String register, long processId, LeaseTimings timings, ProposerContext context) {
        this.register = register;
        this.processId = processId;
        this.timings = timings;
        this.context = context;
    }

    /** Returns whether a change is in flight. */
    boolean isBusy() {
        return proposer != null;
    }

    /** Returns the proposer of the change in flight; null for none. */
    Proposer proposer() {
        return proposer;
    }

    /** Returns the factor by which recent replies of acceptors took longer than usual. */
    double latencyFactor() {
        return latencyFactor;
    }

    /** Returns when {@link #onTimer} is to be called; only valid while a change is in flight. */
    Moment dueAt() {
        return retryAt != null ? retryAt : proposer.deadline();
    }

    /**
     * Begins a change, which replaces the change in flight. A renewal skips phase 1 if the last change
     * permits it.
     */
    void begin(Moment now, ChangeFunction change) {
        requestedAt = now;
        proposer = new Proposer(register, change, processId, highestRound);
        retryAt = null;
        Proposer.Prepared last = prepared;
        prepared = null;
        boolean canSkipPhase1 = last != null && change instanceof ChangeFunction.Renew
                && last.epoch() == context.acceptors().epoch();
        if (canSkipPhase1) {
            attemptedAt = now;
            proposer.attemptPrepared(context.acceptors(), context.nextNumber(), last, attemptDeadline(now),
                    context);
        } else {
            attempt(now);
        }
    }

    private void attempt(Moment now) {
        attemptedAt = now;
        proposer.attempt(context.acceptors(), context.nextNumber(), attemptDeadline(now), context);
    }

    private Moment attemptDeadline(Moment now) {
        return now.plus(timings.attemptTimeout(latencyFactor));
    }

    /** Advances the change in flight. Returns how it ended; null if it has not ended. */
    Outcome onTimer(Moment now) {
        if (proposer == null) {
            return null;
        }
        if (retryAt != null) {
            if (!now.before(retryAt)) {
                retryAt = null;
                attempt(now);
            }
            return null;
        }
        return now.before(proposer.deadline()) ? null : retryOrGiveUp(now);
    }

    private Outcome retryOrGiveUp(Moment now) {
        highestRound = Math.max(highestRound, proposer.highestRound());
        if (!proposer.isRejected()) {
            latencyFactor = timings.increasedLatencyFactor(latencyFactor);
        }
        if (proposer.isRejected() && proposer.rejections() == 1) {
            attempt(now);
            return null;
        }
        if (proposer.isRejected() && proposer.change() instanceof ChangeFunction.Acquire) {
            proposer = null;
            // Two contenders that both kept retrying would prevent each other from acquiring the lease.
            return new Outcome.Yielded(timings.maxBackoff().times(latencyFactor * context.nextRandom()));
        }
        if (now.since(requestedAt).longerThan(timings.changeTimeout())) {
            proposer = null;
            return new Outcome.TimedOut();
        }
        retryAt = now.plus(timings.attemptTimeout(latencyFactor).times(context.nextRandom()));
        return null;
    }

    /** Handles an acceptor's reply. Returns how the change ended; null if it has not ended. */
    Outcome onReply(Moment now, String from, Message.VoteReply reply) {
        if (proposer == null || retryAt != null || !proposer.onReply(now, from, reply, context)) {
            return null;
        }
        highestRound = Math.max(highestRound, proposer.highestRound());
        Proposer ended = proposer;
        return switch (ended.state()) {
            case PENDING -> onTimer(now);
            case INAPPLICABLE -> {
                proposer = null;
                yield new Outcome.Inapplicable(ended.change(), ended.value());
            }
            case CHOSEN -> {
                proposer = null;
                prepared = ended.value().isHeldBy(processId) ? ended.prepared() : null;
                latencyFactor = timings.latencyFactorAfter(latencyFactor, now.since(attemptedAt));
                yield new Outcome.Chosen(ended.change(), ended.value(), requestedAt);
            }
        };
    }
}
