package rampshift.leases;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import rampshift.time.Moment;
import rampshift.time.Span;

/** An acceptor or a contender of the explored system. */
final class ExplorerNode implements Acceptor.Output, LeaseClient.Context {
    /** The three acceptors of the system. */
    static final AcceptorSet ACCEPTORS = new AcceptorSet(1, List.of(new AcceptorSet.Member("k1", 1),
            new AcceptorSet.Member("k2", 2), new AcceptorSet.Member("k3", 3)), List.of());

    private static final String LEASE = "l";
    private static final long START_MICROS = 1_000_000;
    private static final Span NEVER = new Span(1L << 40);

    /** The environment that all nodes of all states share. */
    static final class Environment {
        /** The state that this thread currently expands. */
        private static final ThreadLocal<ExplorerState> STATE = new ThreadLocal<>();

        final Set<String> cutLinks;
        final boolean sendsBeforeSync;

        Environment(Set<String> cutLinks, boolean sendsBeforeSync) {
            this.cutLinks = cutLinks;
            this.sendsBeforeSync = sendsBeforeSync;
        }

        ExplorerState state() {
            return STATE.get();
        }

        /** Sets the state that this thread expands. */
        void enter(ExplorerState entered) {
            STATE.set(entered);
        }
    }

    final String name;
    private final Environment environment;
    private final double clockRate;
    private final TreeMap<String, byte[]> disk = new TreeMap<>();
    private final List<PendingOutput> pending = new ArrayList<>();
    private Acceptor acceptor;
    private LeaseClient lease;
    private long numbers;
    private long fingerprint;

    private ExplorerNode(Environment environment, String name, double clockRate) {
        this.environment = environment;
        this.name = name;
        this.clockRate = clockRate;
    }

    /** Creates an acceptor that votes immediately; its start is not explored. */
    static ExplorerNode acceptor(Environment environment, long id) {
        ExplorerNode node = new ExplorerNode(environment, "k" + id, 1);
        node.disk.put("keepers", ACCEPTORS.encode().getBytes(StandardCharsets.US_ASCII));
        node.disk.put("self", Codec.encode(id, 0));
        node.startAcceptor();
        node.pending.clear();
        return node;
    }

    static ExplorerNode contender(Environment environment, String name, long processId, double clockRate,
            LeaseTimings timings) {
        ExplorerNode node = new ExplorerNode(environment, name, clockRate);
        node.lease = new LeaseClient(LEASE, name, processId, timings, node);
        return node;
    }

    private void startAcceptor() {
        acceptor = new Acceptor(name, List.of("k1"), NEVER, this);
        acceptor.start(new Moment(0), new TreeMap<>(disk), 0, 0);
        StateCopier.set(acceptor, "state", Acceptor.State.VOTING);
    }

    Environment environment() {
        return environment;
    }

    boolean isContender() {
        return lease != null;
    }

    LeaseClient lease() {
        return lease;
    }

    /** Returns how many numbers a contender has assigned to changes and attempts. */
    long numbers() {
        return numbers;
    }

    boolean hasPendingOutput() {
        return !pending.isEmpty();
    }

    Moment now() {
        return new Moment(START_MICROS
                + Math.round(environment.state().ticks * InterleavingExplorer.TICK_MICROS * clockRate));
    }

    void onMessage(String from, Message message) {
        if (acceptor != null) {
            acceptor.onRequest(from, (Message.Request) message);
        } else {
            lease.onReply(now(), from, (Message.VoteReply) message);
        }
    }

    /** Writes and sends all pending output. */
    void sync() {
        for (PendingOutput each : pending) {
            if (each instanceof PendingOutput.Write write) {
                disk.put(write.key(), write.value());
            } else if (each instanceof PendingOutput.Send<?> send) {
                send(send.to(), (Message) send.message());
            }
        }
        pending.clear();
    }

    /** Restarts the acceptor with the records on its disk; pending output is lost. */
    void crash() {
        pending.clear();
        startAcceptor();
    }

    @Override
    public void persist(String key, byte[] value) {
        pending.add(new PendingOutput.Write(key, value));
    }

    @Override
    public void sendAfterSync(String to, Message message) {
        if (environment.sendsBeforeSync) {
            send(to, message);
        } else {
            pending.add(new PendingOutput.Send<>(to, message));
        }
    }

    @Override
    public void send(String to, Message message) {
        if (!environment.cutLinks.contains(name + ">" + to)) {
            long hash = ExplorerState.hash(contenderName(name) + contenderName(to) + message);
            environment.state().inFlight.add(new ExplorerState.InFlight(name, to, message, hash));
        }
    }

    private static String contenderName(String name) {
        return name.startsWith("k") ? "" : name;
    }

    @Override
    public void emit(EventType type, String detail) {
        // Not explored.
    }

    @Override
    public void emit(String leaseName, EventType type, LeaseRecord value) {
        // Not explored.
    }

    @Override
    public void changeCompleted(String leaseName, LeaseRecord value, Span elapsed) {
        // Not explored.
    }

    @Override
    public AcceptorSet acceptors() {
        return ACCEPTORS;
    }

    @Override
    public long nextNumber() {
        return ++numbers;
    }

    @Override
    public Span contentionDelay(String leaseName) {
        return Span.ZERO;
    }

    @Override
    public double nextRandom() {
        return 1;
    }

    void invalidateFingerprint() {
        fingerprint = 0;
    }

    /**
     * Returns a hash that is equal for equal nodes. It excludes which acceptors have replied, which
     * {@link ExplorerState#fingerprint} includes per acceptor.
     */
    long fingerprint() {
        if (fingerprint == 0) {
            IdentityHashMap<Object, Object> shared = new IdentityHashMap<>();
            shared.put(ACCEPTORS, "");
            shared.put(this, "");
            shared.put(replied(), "");
            StringBuilder text = new StringBuilder(1000);
            Object registers = acceptor == null ? null : StateCopier.get(acceptor, "registers");
            StateCopier.print(registers == null ? null : StateCopier.get(registers, "states"), text, shared);
            StateCopier.print(lease, text, shared);
            pending.forEach(each -> StateCopier.print(each, text, shared));
            fingerprint = ExplorerState.hash(text.append(numbers));
        }
        return fingerprint;
    }

    /** Returns the acceptors that have replied in the current phase of the contender's attempt. */
    @SuppressWarnings("unchecked")
    Set<String> replied() {
        Proposer proposer = lease == null ? null : lease.writer().proposer();
        return proposer == null ? Set.of() : (Set<String>) StateCopier.get(proposer, "replied");
    }
}
