package rampshift.leases;

import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Makes the changes of one register, one after another: attempts, their timeouts, retries and backoff.
 * Whoever is outbid while acquiring a lease yields to the other contender.
 */
final class RegisterWriter {
    /** How a change ended. */
    sealed interface Outcome {
        /**
         * A quorum has accepted the result.
         *
         * @param requestedAt before the change was requested; a term counts from here
         */
        record Chosen(ChangeFunction change, LeaseRecord value, Moment requestedAt) implements Outcome {}

        /** The change does not apply to a value that was found. */
        record Inapplicable(ChangeFunction change, LeaseRecord current) implements Outcome {}

        /** Another contender is acquiring the lease; this one is to wait. */
        record Yielded(Span backoff) implements Outcome {}

        /** It was given up. A result that a quorum accepts later lets nobody act. */
        record TimedOut() implements Outcome {}
    }

    private final String register;
    private final long processId;
    private final LeaseTimings timings;
    private final ProposerContext context;
    private Proposer proposer;
    private Moment attemptedAt;
    private Moment requestedAt;
    /** When the next attempt begins; null while one is under way. */
    private Moment retryAt;
    private long highestRound;
    private double latencyFactor = 1;
    /** Null where the next change has to begin with phase 1. */
    private Proposer.Prepared prepared;

    RegisterWriter(String register, long processId, LeaseTimings timings, ProposerContext context) {
        this.register = register;
        this.processId = processId;
        this.timings = timings;
        this.context = context;
    }

    /** Whether a change is in flight. */
    boolean isBusy() {
        return proposer != null;
    }

    /** The proposer of the change in flight; null for none. */
    Proposer proposer() {
        return proposer;
    }

    /** How many times longer than usual the replies of acceptors have taken lately. */
    double latencyFactor() {
        return latencyFactor;
    }

    /** When {@link #onTimer} is to be called, while a change is in flight. */
    Moment dueAt() {
        return retryAt != null ? retryAt : proposer.deadline();
    }

    /**
     * Begins a change, and drops the one in flight. A renewal leaves out phase 1 where the last change allows
     * it.
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

    /** Goes on with the change in flight. Returns how it ended; null while it has not. */
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
            // Two contenders that insist would keep each other from acquiring the lease.
            return new Outcome.Yielded(timings.maxBackoff().times(latencyFactor * context.nextRandom()));
        }
        if (now.since(requestedAt).longerThan(timings.changeTimeout())) {
            proposer = null;
            return new Outcome.TimedOut();
        }
        retryAt = now.plus(timings.attemptTimeout(latencyFactor).times(context.nextRandom()));
        return null;
    }

    /** Takes an acceptor's reply. Returns how the change ended; null while it has not. */
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
