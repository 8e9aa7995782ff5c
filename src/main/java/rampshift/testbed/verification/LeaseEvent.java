package rampshift.testbed.verification;

/** What dispatchers wrote of leases, and workers of the effects that they applied for holders of leases. */
sealed interface LeaseEvent extends LogEvent {
    /** A dispatcher holds a lease with that fencing token. */
    record LeaseHeld(long at, String dispatcher, String lease, long token) implements LeaseEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onLeaseHeld(this);
        }
    }

    /**
     * A change of a register was chosen by a quorum.
     *
     * @param requestedAt when the change was asked for, in microseconds of Unix time
     * @param holder the holder of the lease from then on, or {@code -} for none
     */
    record RegisterChanged(long at, long requestedAt, String register, long version, long token,
            String holder) implements LeaseEvent {
        @Override
        public void accept(LogEventListener listener) {
            listener.onRegisterChanged(this);
        }
    }

    /** A worker applied the effect of a job's task that came with a fencing token. */
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

    /** A dispatcher says that a task of its job is completed. */
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
