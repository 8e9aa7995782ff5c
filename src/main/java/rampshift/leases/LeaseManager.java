package rampshift.leases;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * The leases of one dispatcher, and its acceptor if it has one. A deterministic state machine: its input is
 * messages and the time, its output is what to send and store; it has no clock, disk, socket or thread.
 */
public final class LeaseManager {
    /** Sends, stores and reports what the manager requests. */
    public interface Output {
        /** Sends a message to a dispatcher; the message may be lost. */
        void send(String to, byte[] message);

        /** Writes a record to the acceptor's directory, which replaces an earlier record of the same key. */
        void persist(String key, byte[] value);

        /** Sends a message once all records written so far are on disk. */
        void sendAfterSync(String to, byte[] message);

        /** Schedules a call of {@link LeaseManager#onTimer}, which replaces the call scheduled before. */
        void wakeAt(Moment time);

        /** Reports an event. */
        void emit(LeaseEvent event);

        /**
         * Reports a change of a lease by this process that a quorum has accepted, for a history of changes.
         */
        void changeCompleted(String register, LeaseRecord value, Span elapsed);
    }

    /**
     * The identity of this dispatcher, and the leases that it contends for.
     *
     * @param name name of this dispatcher
     * @param processId number of this process, unique among all processes at all times
     * @param initialAcceptors names of the first acceptors; a reconfiguration may have replaced them
     * @param leases names of the leases
     * @param timings times of the leases
     * @param seed seed of all random draws
     */
    public record Settings(String name, long processId, List<String> initialAcceptors, List<String> leases,
            LeaseTimings timings, long seed) {}

    private final Settings settings;
    private final LeaseTimings timings;
    private final Output out;
    private final ProcessContext process;
    private final LeaseClients clients;
    private Acceptor acceptor;
    private Reconfiguration reconfiguration;
    private Moment now;
    private Moment housekeepingAt;
    private Moment wakeRequestedAt;

    /** Creates a manager that has not started and knows nothing of the leases yet. */
    public LeaseManager(Settings settings, Output out) {
        this.settings = settings;
        this.out = out;
        timings = settings.timings();
        process = new ProcessContext(settings.seed(), out);
        clients = new LeaseClients(settings, process, out);
    }

    /** Starts without an acceptor. */
    public void start(Moment at) {
        now = at;
        housekeepingAt = at;
        clients.start(at);
        requestWake();
    }

    /**
     * Starts with an acceptor.
     *
     * @param records the records in its directory by key
     * @param recordCount how many records have ever been written to the directory
     * @param newDirectoryId id for a directory that has none yet
     */
    public void startWithAcceptor(Moment at, Map<String, byte[]> records, long recordCount,
            long newDirectoryId) {
        now = at;
        acceptor = new Acceptor(settings.name(), settings.initialAcceptors(), timings.pollInterval(),
                new AcceptorOutput());
        acceptor.start(at, records, recordCount, newDirectoryId);
        learn(acceptor.acceptors());
        start(at);
    }

    /** Handles a message from a dispatcher; a malformed message is ignored. */
    public void onMessage(Moment at, String from, byte[] bytes) {
        Message message = Codec.decodeMessage(bytes);
        if (message == null) {
            return;
        }
        now = at;
        if (message instanceof Message.Request request) {
            onRequest(from, request);
        } else if (message instanceof Message.VoteReply reply) {
            onVoteReply(from, reply);
        } else if (message instanceof Message.ReadReply reply) {
            clients.onReadReply(at, reply);
        } else if (message instanceof Message.HelloReply reply) {
            onHelloReply(from, reply);
        } else if (message instanceof Message.StaleEpoch stale) {
            learn(stale.acceptors());
        } else if (message instanceof Message.Installed reply) {
            learn(reply.acceptors());
            if (reconfiguration != null) {
                reconfiguration.onInstalled(at, from, reply);
            }
        } else if (message instanceof Message.AcceptorBehind behind) {
            if (process.acceptors().epoch() > behind.acceptors().epoch()) {
                process.send(from, new Message.Install(0, process.acceptors()));
            }
        } else if (message instanceof Message.RegisterList list && reconfiguration != null) {
            reconfiguration.onRegisterList(at, from, list);
        }
        requestWake();
    }

    private void onRequest(String from, Message.Request request) {
        if (acceptor != null) {
            acceptor.onRequest(from, request);
            learn(acceptor.acceptors());
        } else if (request instanceof Message.Hello hello) {
            process.send(from, new Message.HelloReply(hello.directory().startCount(), process.acceptors(), 0,
                    DirectoryVersion.NONE));
        }
    }

    private void onVoteReply(String from, Message.VoteReply reply) {
        if (!clients.onVoteReply(now, from, reply) && reconfiguration != null) {
            reconfiguration.onReply(now, from, reply);
        }
    }

    private void onHelloReply(String from, Message.HelloReply reply) {
        learn(reply.acceptors());
        if (acceptor != null) {
            acceptor.onHelloReply(from, reply);
            learn(acceptor.acceptors());
        }
        if (reconfiguration != null) {
            reconfiguration.onHelloReply(from, reply);
        }
    }

    /** Records how many records of the acceptor's directory are on disk. */
    public void onSynced(long recordCount) {
        if (acceptor != null) {
            acceptor.onSynced(recordCount);
        }
    }

    /**
     * Stops the acceptor, since its directory can no longer be written. This dispatcher keeps its leases and
     * answers {@link Message.Hello} as one without an acceptor.
     */
    public void stopAcceptor(Moment at) {
        now = at;
        acceptor = null;
        out.emit(LeaseEvent.ofAcceptor(EventType.ACCEPTOR_STATE, "STOPPED"));
    }

    /** Performs the actions that are due; see {@link Output#wakeAt}. */
    public void onTimer(Moment at) {
        now = at;
        wakeRequestedAt = null;
        clients.onTimer(now);
        if (acceptor != null) {
            acceptor.onTimer(now);
            learn(acceptor.acceptors());
        }
        if (!now.before(housekeepingAt)) {
            housekeepingAt = now.plus(timings.pollInterval());
            findAcceptors();
            clients.balance(now);
        }
        if (reconfiguration != null) {
            reconfiguration.onTimer(now);
            if (reconfiguration.isFinished()) {
                reconfiguration = null;
            }
        }
        requestWake();
    }

    private void findAcceptors() {
        if (process.acceptors().isKnown()) {
            return;
        }
        Set<String> names = new TreeSet<>(clients.alive());
        names.addAll(settings.initialAcceptors());
        Message hello = new Message.Hello(0, process.acceptors(), 0, DirectoryVersion.NONE);
        names.forEach(name -> process.send(name, hello));
    }

    /**
     * Sets the names of the dispatchers that the membership reports as alive: a hint for the order of
     * contenders, the balance of leases and the search for acceptors.
     */
    public void setAlive(Collection<String> names) {
        clients.setAlive(names);
    }

    /** Releases all leases and does not acquire any again. */
    public void shutDown(Moment at) {
        now = at;
        clients.shutDown(at);
        requestWake();
    }

    /**
     * Returns how long this dispatcher may act under the lease from this instant on; it may not act unless
     * that is positive. To be called immediately before acting.
     */
    public Span remaining(String lease, Moment at) {
        LeaseClient client = clients.get(lease);
        return client == null ? Span.ZERO : client.remaining(at);
    }

    /** Returns the fencing token to send with each action; valid only while this dispatcher may act. */
    public long token(String lease) {
        return clients.get(lease).token();
    }

    /** Returns the last observed note of the lease; empty for none. */
    public String note(String lease) {
        LeaseClient client = clients.get(lease);
        LeaseRecord value = client == null ? null : client.observer().current();
        return value == null ? "" : value.note();
    }

    /** Writes the note of a lease that this dispatcher holds, truncated to the maximum length. */
    public void writeNote(Moment at, String lease, String note) {
        now = at;
        clients.writeNote(at, lease, note.substring(0, Math.min(note.length(), LeaseRecord.MAX_NOTE_LENGTH)));
        requestWake();
    }

    /**
     * Requests that the holder release the lease to a dispatcher, or to any dispatcher for "*". Returns
     * whether the lease exists.
     */
    public boolean handOver(Moment at, String lease, String to) {
        now = at;
        boolean exists = clients.handOver(at, lease, to);
        requestWake();
        return exists;
    }

    /**
     * Requests that the holder release the lease, and that it stay free for a time. Returns whether the lease
     * exists.
     */
    public boolean block(Moment at, String lease, Span length) {
        now = at;
        boolean exists =
                clients.request(at, lease, new ChangeFunction.Block(process.nextNumber(), length.micros()));
        requestWake();
        return exists;
    }

    /** Begins a reconfiguration to the acceptors with these names. */
    public ReconfigurationStart reconfigure(Moment at, List<String> names) {
        if (!process.acceptors().isKnown()) {
            return ReconfigurationStart.ACCEPTORS_UNKNOWN;
        }
        if (reconfiguration != null) {
            return ReconfigurationStart.ALREADY_CHANGING;
        }
        if (names.isEmpty() || names.stream().distinct().count() != names.size()) {
            return ReconfigurationStart.INVALID_NAMES;
        }
        now = at;
        reconfiguration =
                new Reconfiguration(settings.processId(), timings, names, new ReconfigurationContext());
        reconfiguration.onTimer(at);
        requestWake();
        return ReconfigurationStart.BEGUN;
    }

    /** Renders the leases and acceptors as text for operators. */
    public String statusPage(Moment at) {
        return new LeaseStatusPage(at, timings.term()).render(process.acceptors(),
                settings.initialAcceptors(), acceptor, clients.all());
    }

    private void learn(AcceptorSet newer) {
        if (newer.epoch() <= process.acceptors().epoch()) {
            return;
        }
        process.setAcceptors(newer);
        if (newer.isChanging() && reconfiguration == null && newer.names().contains(settings.name())) {
            reconfiguration = Reconfiguration.begunByAnotherProcess(settings.name(), settings.processId(),
                    timings, newer, now, new ReconfigurationContext());
        }
    }

    private void requestWake() {
        Moment next = clients.dueAtOr(housekeepingAt);
        if (acceptor != null) {
            next = next.orEarlier(acceptor.dueAt());
        }
        if (reconfiguration != null) {
            next = next.orEarlier(reconfiguration.dueAt());
        }
        next = next.before(now) ? now : next;
        if (wakeRequestedAt == null || next.before(wakeRequestedAt)) {
            wakeRequestedAt = next;
            out.wakeAt(next);
        }
    }

    /** The view of this process that a reconfiguration has. */
    private final class ReconfigurationContext extends ProcessContext.View
            implements
                Reconfiguration.Context {
        ReconfigurationContext() {
            super(process);
        }

        @Override
        public void learn(AcceptorSet newer) {
            LeaseManager.this.learn(newer);
        }

        @Override
        public void emit(EventType type, LeaseRecord value) {
            process.emit(AcceptorSet.REGISTER, type, value);
        }
    }

    /** Encodes and forwards the output of the acceptor. */
    private final class AcceptorOutput implements Acceptor.Output {
        @Override
        public void persist(String key, byte[] value) {
            out.persist(key, value);
        }

        @Override
        public void sendAfterSync(String to, Message message) {
            out.sendAfterSync(to, Codec.encode(message));
        }

        @Override
        public void send(String to, Message message) {
            process.send(to, message);
        }

        @Override
        public void emit(EventType type, String detail) {
            out.emit(LeaseEvent.ofAcceptor(type, detail));
        }
    }
}
