package rampshift.leases;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The history of the changes of all registers as clients observe it, and a check that it is linearizable. */
final class RegisterHistory {
    /** A chosen change, with the times at which it was requested and known to be chosen. */
    private record Chosen(long requestedMicros, long knownMicros, LeaseRecord value) {}

    private final IdentityHashMap<Proposer, Long> requestedMicros = new IdentityHashMap<>();
    private final Map<String, List<Chosen>> chosenByRegister = new TreeMap<>();

    /** Records the proposer of a register before and after a step of a process; null for none. */
    void observe(String register, Proposer before, Proposer after, long nowMicros) {
        if (after != null) {
            requestedMicros.putIfAbsent(after, nowMicros);
        }
        if (before != null && before != after) {
            Long requested = requestedMicros.remove(before);
            if (before.state() == Proposer.State.CHOSEN) {
                chosenByRegister.computeIfAbsent(register, name -> new ArrayList<>())
                        .add(new Chosen(requested, nowMicros, before.value()));
            }
        }
    }

    /**
     * Asserts that each register's changes are linearizable: each version has one value, and a change that
     * was known to be chosen before another was requested has the lower version. Versions make the order
     * total, so that no search is needed. Returns how many changes were checked.
     */
    long check() {
        long checked = 0;
        for (List<Chosen> changes : chosenByRegister.values()) {
            checkVersions(changes);
            checkOrder(changes);
            checked += changes.size();
        }
        return checked;
    }

    private static void checkVersions(List<Chosen> changes) {
        Map<Long, LeaseRecord> valueByVersion = new TreeMap<>();
        for (Chosen change : changes) {
            LeaseRecord other = valueByVersion.putIfAbsent(change.value.version(), change.value);
            if (other != null && !other.equals(change.value)) {
                throw new AssertionError("two values of the same version: " + other + " and " + change.value);
            }
        }
    }

    private static void checkOrder(List<Chosen> changes) {
        List<Chosen> byRequest = new ArrayList<>(changes);
        byRequest.sort(Comparator.comparingLong(Chosen::requestedMicros));
        List<Chosen> byKnown = new ArrayList<>(changes);
        byKnown.sort(Comparator.comparingLong(Chosen::knownMicros));
        long highestVersion = 0;
        int known = 0;
        for (Chosen change : byRequest) {
            while (known < byKnown.size() && byKnown.get(known).knownMicros < change.requestedMicros) {
                highestVersion = Math.max(highestVersion, byKnown.get(known).value.version());
                known++;
            }
            if (change.value.version() < highestVersion) {
                throw new AssertionError("requested after version " + highestVersion
                        + " was known as chosen: " + change.value);
            }
        }
    }
}
