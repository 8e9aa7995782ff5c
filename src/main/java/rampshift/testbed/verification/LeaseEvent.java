package rampshift.testbed.verification;

/**
 * An event of a lease that a dispatcher logged, or of an effect that a worker applied or refused for a lease
 * holder.
 */
sealed interface LeaseEvent extends LogEvent {
    /** A dispatcher holds a lease with the given fencing token. */
    record LeaseHeld(long at, String dispatcher, String lease, long token) implements LeaseEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onLeaseHeld(this);
        }
    }

    /**
     * A quorum chose a change of a register.
     *
     * @param requestedAt when the change was requested, in microseconds of Unix time
     * @param holder the new holder of the lease, or {@code -} for none
     */
    record RegisterChanged(long at, long requestedAt, String register, long version, long token,
            String holder) implements LeaseEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onRegisterChanged(this);
        }
    }

    /** A worker applied the effect of a job's task that carried a fencing token. */
    record EffectApplied(long at, String lease, long token, String task,
            Effect effect) implements LeaseEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onEffectApplied(this);
        }
    }

    /** A worker refused the effect of a job's task because it had seen a higher fencing token. */
    record EffectRefused(long at) implements LeaseEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onEffectRefused(this);
        }
    }

    /** A dispatcher reported a task of its job as completed. */
    record JobTaskCompleted(long at, String task) implements LeaseEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onJobTaskCompleted(this);
        }
    }

    /** A dispatcher does not know whether a task of its job ran. */
    record JobTaskUnsure(long at, String task) implements LeaseEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onJobTaskUnsure(this);
        }
    }
}
