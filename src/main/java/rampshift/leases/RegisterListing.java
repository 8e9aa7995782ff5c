package rampshift.leases;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Collects the names of all registers from a majority of the current acceptors. */
final class RegisterListing {
    private final Proposer.Transport transport;
    private final Map<String, String> lastNameByAcceptor = new HashMap<>();
    private final Set<String> completedAcceptors = new HashSet<>();
    private final TreeSet<String> registers = new TreeSet<>();

    RegisterListing(Proposer.Transport transport) {
        this.transport = transport;
    }

    /** Requests names from all current acceptors that have not sent their whole list yet. */
    void requestMissing(AcceptorSet acceptors) {
        for (AcceptorSet.Member member : acceptors.current()) {
            if (!completedAcceptors.contains(member.name())) {
                request(acceptors, member.name());
            }
        }
    }

    private void request(AcceptorSet acceptors, String from) {
        transport.send(from,
                new Message.ListRegisters(0, acceptors.epoch(), lastNameByAcceptor.getOrDefault(from, "")));
    }

    /**
     * Handles a part of an acceptor's list and requests the next part. Returns whether a majority has sent
     * its whole list, so that all registers are known.
     */
    boolean onList(AcceptorSet acceptors, String from, List<String> names) {
        if (completedAcceptors.contains(from)) {
            return false;
        }
        if (names.isEmpty()) {
            completedAcceptors.add(from);
        } else {
            registers.addAll(names);
            lastNameByAcceptor.put(from, names.get(names.size() - 1));
        }
        if (new AcceptorSet(acceptors.epoch(), acceptors.current(), List.of())
                .hasQuorum(completedAcceptors)) {
            return true;
        }
        if (!completedAcceptors.contains(from)) {
            request(acceptors, from);
        }
        return false;
    }

    /** Removes and returns the next register; null if none is left. */
    String pollRegister() {
        return registers.pollFirst();
    }
}
