package rampshift.leases;

/**
 * The change function of CASPaxos: what a proposer wants of a register. It is a value and free of side
 * effects, so it can be applied again and again, and it recognises its own result.
 */
sealed interface ChangeFunction {
    /**
     * The value that the register is to hold next: null where the change does not apply to the current one;
     * the current one itself where the change has been made already.
     */
    LeaseRecord applyTo(LeaseRecord current);

    private static boolean isResult(LeaseRecord current, long processId, long stamp) {
        return current.isHeldBy(processId) && current.stamp() == stamp;
    }

    /**
     * Acquires a lease that was observed to be free or expired.
     *
     * @param expected the observed value; only this one is replaced
     * @param holder the acquiring dispatcher
     * @param processId its process
     * @param stamp number never used before by this process for this register
     * @param termMicros term of the lease
     */
    record Acquire(LeaseRecord expected, String holder, long processId, long stamp,
            long termMicros) implements ChangeFunction {
        @Override
        public LeaseRecord applyTo(LeaseRecord current) {
            if (isResult(current, processId, stamp)) {
                return current;
            }
            if (!current.equals(expected)) {
                return null;
            }
            return new LeaseRecord(current.version() + 1, current.token() + 1, holder, processId, stamp,
                    termMicros, "", 0, current.note());
        }
    }

    /**
     * Renews a lease that this process holds.
     *
     * @param holder the holding dispatcher
     * @param processId its process
     * @param token the token under which it holds the lease
     * @param stamp number never used before by this process for this register
     * @param termMicros term of the lease
     * @param note the new note; null leaves it as it is
     */
    record Renew(String holder, long processId, long token, long stamp, long termMicros,
            String note) implements ChangeFunction {
        @Override
        public LeaseRecord applyTo(LeaseRecord current) {
            if (isResult(current, processId, stamp)) {
                return current;
            }
            if (!current.isHeldBy(processId) || current.token() != token) {
                return null;
            }
            return new LeaseRecord(current.version() + 1, token, holder, processId, stamp, termMicros,
                    current.nextHolder(), current.blockMicros(), note == null ? current.note() : note);
        }
    }

    /**
     * Releases a lease that this process holds. It stays reserved for the next holder, if one is named, for a
     * term.
     *
     * @param processId the holding process
     * @param token the token under which it holds the lease
     * @param stamp number never used before by this process for this register
     */
    record Release(long processId, long token, long stamp) implements ChangeFunction {
        @Override
        public LeaseRecord applyTo(LeaseRecord current) {
            if (!current.isHeldBy(processId) || current.token() != token) {
                return null;
            }
            return new LeaseRecord(current.version() + 1, token, "", 0, stamp, reservationMicros(current),
                    current.nextHolder(), 0, current.note());
        }

        private static long reservationMicros(LeaseRecord current) {
            if (current.blockMicros() > 0) {
                return current.blockMicros();
            }
            String next = current.nextHolder();
            return next.isEmpty() || next.equals(HandOver.ANYBODY) ? 0 : current.termMicros();
        }
    }

    /**
     * An operator's request: nobody is to hold the lease for a time once its holder has released it.
     *
     * @param requestNumber tells equal requests apart
     * @param micros that time
     */
    record Block(long requestNumber, long micros) implements ChangeFunction {
        @Override
        public LeaseRecord applyTo(LeaseRecord current) {
            if (current.isFree()) {
                return new LeaseRecord(current.version() + 1, current.token(), "", 0, 0, micros, "", 0,
                        current.note());
            }
            return new LeaseRecord(current.version() + 1, current.token(), current.holder(),
                    current.processId(), current.stamp(), current.termMicros(), "", micros, current.note());
        }
    }

    /**
     * An operator's request, or one for balance: another dispatcher is to hold the lease.
     *
     * @param requestNumber tells equal requests apart
     * @param nextHolder that dispatcher, or {@link #ANYBODY}
     * @param reservationMicros how long a free lease is reserved for it
     */
    record HandOver(long requestNumber, String nextHolder, long reservationMicros) implements ChangeFunction {

        /** Whichever dispatcher acquires it first. */
        static final String ANYBODY = "*";

        @Override
        public LeaseRecord applyTo(LeaseRecord current) {
            if (current.isFree()) {
                return new LeaseRecord(current.version() + 1, current.token(), "", 0, 0, reservationMicros,
                        nextHolder, 0, current.note());
            }
            return new LeaseRecord(current.version() + 1, current.token(), current.holder(),
                    current.processId(), current.stamp(), current.termMicros(), nextHolder,
                    current.blockMicros(), current.note());
        }
    }

    /**
     * Puts another acceptor set into the register of the acceptors.
     *
     * @param expected the value that the new set follows
     * @param acceptors the new set, encoded
     */
    record ReplaceAcceptors(LeaseRecord expected, String acceptors) implements ChangeFunction {
        @Override
        public LeaseRecord applyTo(LeaseRecord current) {
            if (current.note().equals(acceptors)) {
                return current;
            }
            if (!current.equals(expected)) {
                return null;
            }
            return new LeaseRecord(current.version() + 1, current.token(), "", 0, 0, 0, "", 0, acceptors);
        }
    }

    /** Leaves the value as it is: afterwards a quorum of the present acceptor set has accepted it. */
    record Rewrite() implements ChangeFunction {
        @Override
        public LeaseRecord applyTo(LeaseRecord current) {
            return current;
        }
    }
}
