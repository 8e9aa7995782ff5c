package rampshift.leases;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * How many leases each dispatcher holds, as observed by this one, and which dispatchers are alive. These are
 * hints: they decide which dispatcher contends first for a lease and which hands one over, never which may
 * hold it.
 */
final class LeaseDistribution {
    /** Difference in held leases from which on a dispatcher hands a lease over. */
    private static final int MIN_IMBALANCE = 2;

    private final String self;
    private final Map<String, LeaseRecord> countedValues = new TreeMap<>();
    private final Map<String, Integer> heldByDispatcher = new TreeMap<>();
    private Set<String> alive = new TreeSet<>();

    LeaseDistribution(String self) {
        this.self = self;
        alive.add(self);
    }

    /** Sets the names of the dispatchers that are alive; this dispatcher is added to them. */
    void setAlive(Collection<String> names) {
        alive = new TreeSet<>(names);
        alive.add(self);
    }

    Set<String> alive() {
        return alive;
    }

    /** Counts the value of a lease that is most likely the current one; null while none is known. */
    void update(String lease, LeaseRecord value) {
        LeaseRecord before = countedValues.get(lease);
        if (value == null || value.equals(before)) {
            return;
        }
        countedValues.put(lease, value);
        if (before != null && !before.isFree()) {
            heldByDispatcher.merge(before.holder(), -1, Integer::sum);
        }
        if (!value.isFree()) {
            heldByDispatcher.merge(value.holder(), 1, Integer::sum);
        }
    }

    private int leasesHeldBy(String dispatcher) {
        return heldByDispatcher.getOrDefault(dispatcher, 0);
    }

    /**
     * Returns how many contenders come before this dispatcher: those that hold fewer leases, and among equals
     * those that come first in an order that differs from lease to lease.
     */
    int contendersBefore(String lease) {
        int before = 0;
        for (String other : alive) {
            if (!other.equals(self) && contendsBefore(lease, other)) {
                before++;
            }
        }
        return before;
    }

    private boolean contendsBefore(String lease, String other) {
        if (leasesHeldBy(other) != leasesHeldBy(self)) {
            return leasesHeldBy(other) < leasesHeldBy(self);
        }
        return SeededDraws.checksum(lease + " " + other) < SeededDraws.checksum(lease + " " + self);
    }

    /**
     * Returns the dispatcher to hand a lease over to: the one with the fewest leases, or null while the
     * difference to this dispatcher is below {@link #MIN_IMBALANCE}.
     */
    String handoverTarget() {
        String target = null;
        for (String other : alive) {
            if (target == null || leasesHeldBy(other) < leasesHeldBy(target)) {
                target = other;
            }
        }
        return leasesHeldBy(self) - leasesHeldBy(target) >= MIN_IMBALANCE ? target : null;
    }
}
