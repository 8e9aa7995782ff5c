package rampshift.leases;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * How many leases each dispatcher holds, as observed here, and which dispatchers are alive. These are hints:
 * they decide who contends first for a lease and who hands one over, never who may hold it.
 */
final class LeaseDistribution {
    private static final int MIN_IMBALANCE = 2;

    private final String self;
    private final Map<String, LeaseRecord> counted = new TreeMap<>();
    private final Map<String, Integer> heldByDispatcher = new TreeMap<>();
    private Set<String> alive = new TreeSet<>();

    LeaseDistribution(String self) {
        this.self = self;
        alive.add(self);
    }

    /** Takes the names of the dispatchers that are alive; this one always is. */
    void setAlive(Collection<String> names) {
        alive = new TreeSet<>(names);
        alive.add(self);
    }

    Set<String> alive() {
        return alive;
    }

    /** Takes the value of a lease that most likely stands; null while none is known. */
    void update(String lease, LeaseRecord value) {
        LeaseRecord before = counted.get(lease);
        if (value == null || value.equals(before)) {
            return;
        }
        counted.put(lease, value);
        if (before != null && !before.isFree()) {
            heldByDispatcher.merge(before.holder(), -1, Integer::sum);
        }
        if (!value.isFree()) {
            heldByDispatcher.merge(value.holder(), 1, Integer::sum);
        }
    }

    private int held(String dispatcher) {
        return heldByDispatcher.getOrDefault(dispatcher, 0);
    }

    /**
     * How many contenders come before this dispatcher: those with fewer leases, then by an order of each
     * lease.
     */
    int contendersBefore(String lease) {
        int before = 0;
        for (String other : alive) {
            if (!other.equals(self) && isBefore(lease, other)) {
                before++;
            }
        }
        return before;
    }

    private boolean isBefore(String lease, String other) {
        if (held(other) != held(self)) {
            return held(other) < held(self);
        }
        return SeededDraws.checksum(lease + " " + other) < SeededDraws.checksum(lease + " " + self);
    }

    /**
     * The dispatcher that is to get a lease of this one; null while this one does not hold that many more.
     */
    String handoverTarget() {
        String least = null;
        for (String other : alive) {
            if (least == null || held(other) < held(least)) {
                least = other;
            }
        }
        return held(self) - held(least) >= MIN_IMBALANCE ? least : null;
    }
}
