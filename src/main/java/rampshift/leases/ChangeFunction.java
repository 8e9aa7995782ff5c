package rampshift.leases;

/**
 * A CASPaxos change function, which computes the next value of a register. It is immutable and free of side
 * effects, so that it can be applied repeatedly. {@link Acquire}, {@link Renew} and {@link ReplaceAcceptors}
 * recognise their own result.
 */
sealed interface ChangeFunction {
    /**
     * Returns the next value of the register: null if the change does not apply to the current value, and the
     * current value itself if there is nothing to change.
     */
    LeaseRecord applyTo(LeaseRecord current);

    private static boolean isResult(LeaseRecord current, long processId, long changeNumber) {
        return current.isHeldBy(processId) && current.changeNumber() == changeNumber;
    }

    /**
     * Acquires a lease that was observed to be free or expired.
     *
     * @param expected the observed value; no other value is replaced
     * @param holder name of the acquiring dispatcher
     * @param processId id of its process
     * @param changeNumber number never used before by this process for this register
     * @param termMicros term of the lease
     */
    record Acquire(LeaseRecord expected, String holder, long processId, long changeNumber,
            long termMicros) implements ChangeFunction {
        @Override
        public LeaseRecord applyTo(LeaseRecord current) {
            if (isResult(current, processId, changeNumber)) {
                return current;
            }
            if (!current.equals(expected)) {
                return null;
            }
            return new LeaseRecord(current.version() + 1, current.token() + 1, holder, processId,
                    changeNumber, termMicros, "", 0, current.note());
        }
    }

    /**
     * Renews a lease that this process holds.
     *
     * @param holder name of the holding dispatcher
     * @param processId id of its process
     * @param token the token under which it holds the lease
     * @param changeNumber number never used before by this process for this register
     * @param termMicros term of the lease
     * @param note the new note; null to leave the note unchanged
     */
    record Renew(String holder, long processId, long token, long changeNumber, long termMicros,
            String note) implements ChangeFunction {
        @Override
        public LeaseRecord applyTo(LeaseRecord current) {
            if (isResult(current, processId, changeNumber)) {
                return current;
            }
            if (!current.isHeldBy(processId) || current.token() != token) {
                return null;
            }
            return new LeaseRecord(current.version() + 1, token, holder, processId, changeNumber, termMicros,
                    current.nextHolder(), current.blockMicros(), note == null ? current.note() : note);
        }
    }

    /**
     * Releases a lease that this process holds. If a next holder is named, the lease stays reserved for it
     * for a term.
     *
     * @param processId id of the holding process
     * @param token the token under which it holds the lease
     * @param changeNumber number never used before by this process for this register
     */
    record Release(long processId, long token, long changeNumber) implements ChangeFunction {
        @Override
        public LeaseRecord applyTo(LeaseRecord current) {
            if (!current.isHeldBy(processId) || current.token() != token) {
                return null;
            }
            return new LeaseRecord(current.version() + 1, token, "", 0, changeNumber,
                    reservationMicros(current), current.nextHolder(), 0, current.note());
        }

        private static long reservationMicros(LeaseRecord current) {
            if (current.blockMicros() > 0) {
                return current.blockMicros();
            }
            String next = current.nextHolder();
            return next.isEmpty() || next.equals(HandOver.ANY_DISPATCHER) ? 0 : current.termMicros();
        }
    }

    /**
     * An operator's request to release the lease and keep it free for a time.
     *
     * @param requestNumber distinguishes requests that are otherwise equal
     * @param micros how long the lease is to stay free, in microseconds
     */
    record Block(long requestNumber, long micros) implements ChangeFunction {
        @Override
        public LeaseRecord applyTo(LeaseRecord current) {
            if (current.isFree()) {
                return new LeaseRecord(current.version() + 1, current.token(), "", 0, 0, micros, "", 0,
                        current.note());
            }
            return new LeaseRecord(current.version() + 1, current.token(), current.holder(),
                    current.processId(), current.changeNumber(), current.termMicros(), "", micros,
                    current.note());
        }
    }

    /**
     * A request of an operator, or of the balancing of leases, to move the lease to another dispatcher.
     *
     * @param requestNumber distinguishes requests that are otherwise equal
     * @param nextHolder name of that dispatcher, or {@link #ANY_DISPATCHER}
     * @param reservationMicros how long a free lease is reserved for that dispatcher, in microseconds
     */
    record HandOver(long requestNumber, String nextHolder, long reservationMicros) implements ChangeFunction {

        /** In place of a name: whichever dispatcher acquires the lease first. */
        static final String ANY_DISPATCHER = "*";

        @Override
        public LeaseRecord applyTo(LeaseRecord current) {
            if (current.isFree()) {
                return new LeaseRecord(current.version() + 1, current.token(), "", 0, 0, reservationMicros,
                        nextHolder, 0, current.note());
            }
            return new LeaseRecord(current.version() + 1, current.token(), current.holder(),
                    current.processId(), current.changeNumber(), current.termMicros(), nextHolder,
                    current.blockMicros(), current.note());
        }
    }

    /**
     * Replaces the set in the register of the acceptors.
     *
     * @param expected the current value; no other value is replaced
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

    /** Leaves the value unchanged; once chosen, a quorum of the present acceptor set has accepted it. */
    record Rewrite() implements ChangeFunction {
        @Override
        public LeaseRecord applyTo(LeaseRecord current) {
            return current;
        }
    }
}
