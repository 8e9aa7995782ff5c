package rampshift.leases;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A state of the explored system. States share nodes until a node changes. */
final class ExplorerState {
    private static final long PRIME = 31;
    private static final long NODE_PRIME = 1_000_003;
    private static final long REPLIED = 7;

    /** A message in flight; its hash identifies its content in fingerprints. */
    record InFlight(String from, String to, Message message, long hash) {}

    final Map<String, ExplorerNode> nodes;
    final List<InFlight> inFlight;
    int ticks;
    int repeats;
    int crashes;
    /** The highest token under which a contender acted. */
    long highestToken;
    private final ExplorerState parent;
    private final String step;

    /** Creates the first state, without nodes. */
    ExplorerState() {
        parent = null;
        step = "";
        nodes = new TreeMap<>();
        inFlight = new ArrayList<>();
    }

    /** Creates the state that follows its parent by one step. */
    ExplorerState(ExplorerState parent, String step) {
        this.parent = parent;
        this.step = step;
        nodes = new TreeMap<>(parent.nodes);
        inFlight = new ArrayList<>(parent.inFlight);
        ticks = parent.ticks;
        repeats = parent.repeats;
        crashes = parent.crashes;
        highestToken = parent.highestToken;
    }

    /** Replaces a node by a copy that belongs to this state alone, and returns the copy. */
    ExplorerNode copyNode(String name) {
        ExplorerNode original = nodes.get(name);
        IdentityHashMap<Object, Object> shared = new IdentityHashMap<>();
        shared.put(original.environment(), original.environment());
        ExplorerNode copy = StateCopier.copy(original, shared);
        copy.invalidateFingerprint();
        nodes.put(name, copy);
        return copy;
    }

    /** Returns a hash that is equal for equal states and for states that differ in the order of acceptors. */
    long fingerprint() {
        long sum = ticks + PRIME * (repeats + PRIME * (crashes + PRIME * highestToken));
        for (ExplorerNode node : nodes.values()) {
            sum = node.isContender() ? sum * NODE_PRIME + node.fingerprint() : sum;
        }
        long acceptors = 0;
        for (ExplorerNode node : nodes.values()) {
            acceptors += node.isContender() ? 0 : fingerprintOfAcceptor(node);
        }
        return mix(sum) + acceptors;
    }

    private long fingerprintOfAcceptor(ExplorerNode acceptor) {
        long sum = acceptor.fingerprint();
        for (InFlight each : inFlight) {
            sum += each.from.equals(acceptor.name) || each.to.equals(acceptor.name) ? mix(each.hash) : 0;
        }
        for (ExplorerNode node : nodes.values()) {
            boolean hasReplied = node.isContender() && node.replied().contains(acceptor.name);
            sum = sum * PRIME + (hasReplied ? REPLIED : 0);
        }
        return mix(sum);
    }

    static long hash(CharSequence text) {
        long sum = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            sum = (sum ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(sum);
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 32)) * 0x9e3779b97f4a7c15L;
        return (mixed ^ (mixed >>> 29)) * 0xbf58476d1ce4e5b9L;
    }

    /** Returns all steps that lead to this state. */
    String path() {
        return parent == null ? "" : parent.path() + " " + step + ";";
    }
}
