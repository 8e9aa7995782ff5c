package rampshift.leases;

import java.util.LinkedHashMap;
import java.util.Map;
import rampshift.time.Moment;

/** What a dispatcher has observed of one register, and when it first observed it. */
final class RegisterObserver {
    private static final int MAX_OBSERVATIONS = 6;

    private final Map<LeaseRecord, Moment> firstObservedAt = new LinkedHashMap<>();
    private LeaseRecord current;
    private Moment lastContactAt;

    /** The value that most likely stands; null while none is known. */
    LeaseRecord current() {
        return current;
    }

    /** When the current value was first observed; null while none is known. */
    Moment currentSince() {
        return current == null ? null : firstObservedAt.get(current);
    }

    /** When an acceptor last sent a value; null for never. */
    Moment lastContactAt() {
        return lastContactAt;
    }

    /**
     * Takes the value of one acceptor, which a quorum may not have. Returns whether it is newer than the
     * current.
     */
    boolean observe(Moment now, LeaseRecord value) {
        lastContactAt = now;
        remember(now, value);
        return current == null || value.version() > current.version();
    }

    /**
     * Makes a value the current one. Returns whether it has another holder, or another term of the same
     * holder.
     */
    boolean setCurrent(Moment now, LeaseRecord value) {
        lastContactAt = now;
        remember(now, value);
        boolean acquired = current == null || current.token() != value.token()
                || !current.holder().equals(value.holder());
        current = value;
        return acquired;
    }

    /**
     * A contender waits from the first observation of a value: its holder requested it before that, so the
     * holder's time to act is over first.
     */
    private void remember(Moment now, LeaseRecord value) {
        if (firstObservedAt.putIfAbsent(value, now) == null && firstObservedAt.size() > MAX_OBSERVATIONS) {
            firstObservedAt.keySet().stream().filter(known -> !known.equals(current) && !known.equals(value))
                    .findFirst().ifPresent(firstObservedAt::remove);
        }
    }
}
