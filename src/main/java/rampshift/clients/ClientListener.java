package rampshift.clients;

import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.function.Supplier;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import rampshift.counters.Counters;
import rampshift.log.Log;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Accepts client connections, and owns them and the listening socket. Used on the I/O thread only. */
public final class ClientListener {
    private static final int BACKLOG = 1024;

    private final Counters counters;
    private final ClientLimits limits;
    private final EarlyRejection earlyRejection;
    private final ReadContext context;
    private final TickBudget tick;
    private final ConnectionTable table;
    private final ConnectionCloser closer;
    private final RequestRejecter rejecter;
    private final ConnectionLimiter limiter;
    private final IdleConnectionReaper reaper;
    private final ConnectionDrainer drainer;
    private final HttpRequestReceiver receiver;
    private final ConnectionEvents events = new EventRouter();
    /** Accepted connections that are not served yet. */
    private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();
    private AcceptingChannel<StreamConnection> socket;

    /**
     * A connection that waits to be served.
     *
     * @param acceptedAt when it was accepted
     * @param firstBytesAt the earliest time at which its first bytes may have arrived
     */
    private record Arrival(StreamConnection channel, Moment acceptedAt, Moment firstBytesAt) {}

    /** Forwards events of connections to the components that handle them. */
    private final class EventRouter implements ConnectionEvents {
        @Override
        public void stateChanged(ClientConnection connection) {
            table.updateState(connection);
        }

        @Override
        public void continueExpected(ClientConnection connection) {
            rejecter.sendContinue(connection);
        }

        @Override
        public void pipelinedInputDropped(ClientConnection connection) {
            rejecter.pipelinedInputDropped(connection);
        }

        @Override
        public void invalidRequest(ClientConnection connection, InvalidRequestException reason) {
            rejecter.reject(connection, reason);
        }

        @Override
        public boolean rejectsForOverload(ClientConnection connection, RequestHead head) {
            boolean staysOpen = head.isPersistent() && !connection.closesAfterResponse()
                    && !closesAfterResponses();
            if (!staysOpen || !earlyRejection.rejects(head)) {
                return false;
            }
            rejecter.rejectForOverload(connection);
            return true;
        }

        @Override
        public void readOnNextTick(ClientConnection connection) {
            tick.processInputOnNextTick(connection);
        }
    }

    /**
     * Creates a listener that does not listen yet.
     *
     * <p>While the number of connections is over the limit and none can be closed, further ones are accepted
     * up to a second limit, and connections are closed after their responses. If the further
     * ones were closed before their requests are read, tasks would be lost: 381 in a burst of 900 clients.
     *
     * @param handler receives all requests except those for status pages
     * @param earlyRejection rejects requests before they reach the handler
     * @param maxUnreadTime the longest time for which bytes that are read now may have been in a socket's
     *     buffer
     * @throws IOException if no file descriptor is left
     */
    public ClientListener(XnioIoThread thread, ByteBufferPool buffers, Clock clock, Counters counters,
            ClientLimits limits, RequestHandler handler, EarlyRejection earlyRejection,
            Supplier<Span> maxUnreadTime) throws IOException {
        this.counters = counters;
        this.limits = limits;
        this.earlyRejection = earlyRejection;
        context = new ReadContext(clock, maxUnreadTime);
        tick = new TickBudget(thread, clock, this::onNextTick);
        table = new ConnectionTable(clock);
        closer = new ConnectionCloser(table, tick);
        rejecter = new RequestRejecter(thread, counters, closer, new ConnectionWriter(closer),
                earlyRejection.retryAfterSeconds());
        limiter = new ConnectionLimiter(limits, table, closer, counters, clock);
        drainer = new ConnectionDrainer(clock, table, closer);
        receiver = new HttpRequestReceiver(buffers, clock, table, closer, handler,
                this::closesAfterResponses);
        reaper = new IdleConnectionReaper(thread, clock, counters, limits.idleTime(), table, closer,
                rejecter);
        reaper.start(() -> {
            reaper.closeExpired(tick);
            limiter.closeExcess();
        });
    }

    /** Returns whether connections are currently closed after their responses. */
    private boolean closesAfterResponses() {
        return drainer.isDraining() || limiter.isOverLimit();
    }

    /** Serves a page at a path, for GET and HEAD; the supplier is called for each request. */
    public void addPage(String path, Supplier<StatusPage> page) {
        receiver.addPage(path, page);
    }

    /**
     * Listens on an address.
     *
     * @throws IOException if the address can't be bound
     */
    public void listen(XnioWorker worker, InetSocketAddress address) throws IOException {
        ChannelListener<AcceptingChannel<StreamConnection>> acceptListener = this::acceptAll;
        socket = worker.createStreamConnectionServer(address, acceptListener, OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.CONNECTION_HIGH_WATER, limits.allConnections())
                // Below the high water mark; otherwise each close in a burst would resume and suspend
                // accepting once.
                .set(Options.CONNECTION_LOW_WATER, limits.connections() + limits.extraConnections() / 2)
                .set(Options.BACKLOG, BACKLOG)
                .getMap());
        socket.resumeAccepts();
    }

    /**
     * Accepts all pending connections, since clients in the kernel's backlog are already connected from their
     * side; the tick budget then limits how many are served at a time.
     */
    private void acceptAll(AcceptingChannel<StreamConnection> from) {
        try {
            for (StreamConnection channel = from.accept(); channel != null; channel = from.accept()) {
                table.recordChange();
                arrivals.add(new Arrival(channel, context.now(), context.earliestArrival()));
            }
            serveArrivals();
        } catch (IOException e) {
            Log.warn("accept", "broke", e.getMessage());
        }
    }

    private void serveArrivals() {
        while (!arrivals.isEmpty() && mayServe(arrivals.peek())) {
            Arrival arrival = arrivals.poll();
            serve(arrival.channel(), arrival.firstBytesAt());
        }
    }

    /**
     * Returns whether a connection may be served in this tick. At the limit, each new connection replaces
     * another one whose descriptor is released only by the next poll, so the extra time of the budget is not
     * used.
     */
    private boolean mayServe(Arrival arrival) {
        return limiter.isBelowLimit() ? tick.tryUse(arrival.acceptedAt()) : tick.tryUse();
    }

    private void onNextTick() {
        if (drainer.isDraining()) {
            drainer.drain(tick);
        }
        serveArrivals();
    }

    /** Serves a connection that was not accepted by this listener. */
    public void serve(StreamConnection channel) {
        serve(channel, context.earliestArrival());
    }

    private void serve(StreamConnection channel, Moment firstBytesAt) {
        counters.add(Counters.Name.CLIENT_CONNECTIONS);
        table.add(new ClientConnection(channel, events, context, limits, firstBytesAt));
        limiter.closeExcess();
        receiver.serve(channel);
    }

    /**
     * Records that the shutdown has begun: clients are still served, but {@link #isUnchangedFor} counts from
     * now at the earliest.
     */
    public void beginShutdown() {
        table.recordChange();
    }

    /** Closes connections between requests, near the end of the shutdown. May be called repeatedly. */
    public void drain() {
        drainer.drain(tick);
    }

    /** Returns whether no client has connected or disconnected for longer than the span. */
    public boolean isUnchangedFor(Span span) {
        return table.isUnchangedFor(span);
    }

    /** Returns whether there is no connection, either served or waiting to be served. */
    public boolean isEmpty() {
        return table.size() == 0 && arrivals.isEmpty();
    }

    /** Returns the address on which the listener accepts connections. */
    public InetSocketAddress address() {
        return socket.getLocalAddress(InetSocketAddress.class);
    }

    /** Returns the number of connections that are served. */
    public int connectionCount() {
        return table.size();
    }

    /** Closes the socket, all connections, the timer and the pipe of the tick. */
    public void close() {
        IoUtils.safeClose(socket);
        reaper.stop();
        arrivals.forEach(arrival -> IoUtils.safeClose(arrival.channel()));
        arrivals.clear();
        for (ClientConnection connection : table.all()) {
            closer.discardInput(connection);
            IoUtils.safeClose(connection.channel());
        }
        table.clear();
        tick.close();
    }
}
