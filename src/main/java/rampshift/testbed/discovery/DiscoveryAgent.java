package rampshift.testbed.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.wire.LoopbackNetwork;
import rampshift.time.Moment;
import rampshift.time.Span;
import rampshift.toml.Range;

/**
 * The discovery agent of one dispatcher. It receives changes of the endpoint list with a delay and answers
 * the long polls of its dispatcher. It is used only on the I/O thread.
 */
public final class DiscoveryAgent {
    private static final int BACKLOG = 128;

    private final int dispatcher;
    private final XnioIoThread thread;
    private final EventLog eventLog;
    private final Range delay;
    private final UniformRandomProvider random;
    private final ListHistory history;
    private final AcceptingChannel<StreamConnection> server;
    private final Set<WatchConnection> connections = new LinkedHashSet<>();
    private Moment lastArrival = new Moment(0);
    private Span staleness = Span.ZERO;
    /** Whether the first response on each new connection is the full list. */
    private boolean startsWithFullList;
    private boolean silent;

    /**
     * Opens the agent's port on 127.0.0.1.
     *
     * @param dispatcher the index of the dispatcher
     * @param worker the XNIO worker whose first I/O thread serves the agent
     * @param port the port; 0 for any free one
     * @param eventLog receives an event for each entry sent to the dispatcher
     * @param delay the range of the delay of a change on its way to the agent
     * @param random draws the delays
     * @param initial the initial endpoint list
     * @throws IOException if the port cannot be opened
     */
    public DiscoveryAgent(int dispatcher, XnioWorker worker, int port, EventLog eventLog, Range delay,
            UniformRandomProvider random, Collection<WorkerEntry> initial) throws IOException {
        this.dispatcher = dispatcher;
        thread = worker.getIoThread(0);
        this.eventLog = eventLog;
        this.delay = delay;
        this.random = random;
        history = new ListHistory(initial);
        ChannelListener<AcceptingChannel<StreamConnection>> onConnection = this::accept;
        LoopbackNetwork.requireFreePort(port);
        server = worker.createStreamConnectionServer(LoopbackNetwork.address(port), onConnection,
                OptionMap.builder().set(Options.TCP_NODELAY, true).set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, BACKLOG).getMap());
        server.resumeAccepts();
    }

    /** Returns the port on 127.0.0.1 at which the agent listens. */
    public int port() {
        return ((InetSocketAddress) server.getLocalAddress()).getPort();
    }

    /** Returns the full endpoint list as the JSON that the dispatcher would receive now without faults. */
    public String list() {
        return toJson(new EndpointUpdate(history.version(), true, history.entries()));
    }

    /** Sends changed entries to the agent. They arrive after a random delay, but always in order. */
    public void publish(Collection<WorkerEntry> changed) {
        Moment now = EventClock.now();
        Moment arrival = now.plus(delay.at(random.nextDouble()));
        lastArrival = arrival.before(lastArrival) ? lastArrival : arrival;
        List<WorkerEntry> copy = List.copyOf(changed);
        thread.executeAfter(() -> {
            history.apply(copy, EventClock.now());
            answerWatches();
        }, Math.round(lastArrival.since(now).millis()), TimeUnit.MILLISECONDS);
    }

    /** Sets whether the agent stops responding. */
    public void setSilent(boolean silent) {
        this.silent = silent;
        answerWatches();
    }

    /**
     * Makes the agent respond with the list as it was some time ago; zero makes it respond with the latest
     * list again. Closes all connections, because an open watch asks only for versions later than the one it
     * has and would never receive an older list.
     */
    public void setStaleness(Span staleness) {
        this.staleness = staleness;
        startsWithFullList = true;
        for (WatchConnection connection : new ArrayList<>(connections)) {
            connection.close();
        }
    }

    private void answerWatches() {
        for (WatchConnection connection : new ArrayList<>(connections)) {
            connection.answerIfChanged();
        }
    }

    private void accept(AcceptingChannel<StreamConnection> acceptor) {
        try {
            for (StreamConnection peer = acceptor.accept(); peer != null; peer = acceptor.accept()) {
                WatchConnection connection = new WatchConnection(this, peer, thread, startsWithFullList);
                connections.add(connection);
                connection.start();
            }
        } catch (IOException e) {
            // The server was closed in the meantime.
        }
    }

    boolean isSilent() {
        return silent;
    }

    void remove(WatchConnection connection) {
        connections.remove(connection);
    }

    /**
     * Returns the update that brings a dispatcher up to date.
     *
     * @param knownVersion the version that the dispatcher has; negative if it has none
     */
    EndpointUpdate updateSince(long knownVersion) {
        boolean stale = staleness.micros() > 0;
        Moment asOf = EventClock.now().minus(staleness);
        long version = stale ? history.versionAt(asOf) : history.version();
        if (stale && knownVersion > version) {
            return new EndpointUpdate(version, false, List.of());
        }
        Optional<List<WorkerEntry>> changes = history.changesBetween(knownVersion, version);
        if (changes.isPresent()) {
            return new EndpointUpdate(version, false, changes.get());
        }
        return new EndpointUpdate(version, true, stale ? history.entriesAt(asOf) : history.entries());
    }

    /** Returns the JSON object that the dispatcher receives for an update. */
    String toJson(EndpointUpdate update) {
        return update.toJson(dispatcher);
    }

    /** Logs that an update was sent to the dispatcher. */
    void recordSent(EndpointUpdate update) {
        Moment now = EventClock.now();
        if (update.complete()) {
            eventLog.append(now, "told-whole", dispatcher);
        }
        for (WorkerEntry entry : update.entries()) {
            String state = entry.state().name().toLowerCase(Locale.ROOT);
            eventLog.append(now, "told", dispatcher, entry.uid(), state);
        }
        if (update.complete()) {
            eventLog.append(now, "told-end", dispatcher);
        }
    }

    /** Closes the port and all connections. */
    public void close() {
        IoUtils.safeClose(server);
        for (WatchConnection connection : new ArrayList<>(connections)) {
            connection.close();
        }
    }
}
