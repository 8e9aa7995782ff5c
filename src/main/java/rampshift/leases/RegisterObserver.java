package rampshift.leases;

import java.util.LinkedHashMap;
import java.util.Map;
import rampshift.time.Moment;

/** The values that a dispatcher has observed in one register, and when it first observed each. */
final class RegisterObserver {
    private static final int MAX_OBSERVATIONS = 6;

    private final Map<LeaseRecord, Moment> firstObservedAt = new LinkedHashMap<>();
    private LeaseRecord current;
    private Moment lastContactAt;

    /** Returns the value that is most likely the current one; null while none is known. */
    LeaseRecord current() {
        return current;
    }

    /** Returns when the current value was first observed; null while none is known. */
    Moment currentSince() {
        return current == null ? null : firstObservedAt.get(current);
    }

    /** Returns when an acceptor last sent a value; null for never. */
    Moment lastContactAt() {
        return lastContactAt;
    }

    /**
     * Records a value of one acceptor, which a quorum may not have accepted. Returns whether it is newer than
     * the current value.
     */
    boolean observe(Moment now, LeaseRecord value) {
        lastContactAt = now;
        recordObservation(now, value);
        return current == null || value.version() > current.version();
    }

    /**
     * Sets the current value. Returns whether it differs from the previous one in holder (or in being free)
     * or in fencing token.
     */
    boolean setCurrent(Moment now, LeaseRecord value) {
        lastContactAt = now;
        recordObservation(now, value);
        boolean holderChanged = current == null || current.token() != value.token()
                || !current.holder().equals(value.holder());
        current = value;
        return holderChanged;
    }

    /**
     * Records when a value was first observed. A contender counts its takeover delay from then: the holder
     * requested the value earlier, so that the holder's acting time ends first.
     */
    private void recordObservation(Moment now, LeaseRecord value) {
        if (firstObservedAt.putIfAbsent(value, now) == null && firstObservedAt.size() > MAX_OBSERVATIONS) {
            firstObservedAt.keySet().stream().filter(known -> !known.equals(current) && !known.equals(value))
                    .findFirst().ifPresent(firstObservedAt::remove);
        }
    }
}
