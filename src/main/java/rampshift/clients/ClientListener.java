package rampshift.clients;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.channels.StreamSinkChannel;
import rampshift.counters.Counters;
import rampshift.log.Log;
import rampshift.time.Clock;
import rampshift.time.IoTimer;
import rampshift.time.Moment;
import rampshift.time.NextTick;
import rampshift.time.Span;

/** Takes in clients: it owns the listening socket and all connections from them. */
public final class ClientListener {
    private static final byte[] GO_ON = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final int BACKLOG = 1024;
    private static final int SCRATCH = 16 * 1024;
    private static final Span WHOLE_CALL = Span.ofMillis(2300);   // a call must be whole by then
    private static final Span USUAL = Span.ofMillis(100);    // a good client's idling before it makes room
    private static final Span NEW = Span.ofMillis(30);            // that any client has to say something
    private static final Span NO_TASK = Span.ofMillis(1000);      // that one stays whose calls were no tasks
    private static final Span QUIET_END = Span.ofMillis(500);     // no more bytes: it has read its answer
    private static final Span LONGEST_END = Span.ofMillis(5000);
    private static final Span SWEEP = Span.ofMillis(50);
    private static final int ENDS_READ = 16;                      // pieces at a time of what nobody wants
    /** Connections taken in or closed before the sockets are looked at again. */
    private static final int A_TURN = 16;

    private final XnioIoThread thread;
    private final Clock clock;
    private final Counters counters;
    private final int most;
    private final int spare;
    private final long mostReceiving;
    private final Span mostIdle;
    private final Intake intake;
    private final Supplier<Span> unread;
    private final ByteBuffer scratch = ByteBuffer.allocateDirect(SCRATCH);
    private final HttpOpenListener http;
    private final Map<String, Supplier<Page>> pages = new HashMap<>();
    /** All open connections that were taken in. */
    private final Map<StreamConnection, ClientConnection> open = new HashMap<>();
    /** The same by how they stand, the longest so first. */
    private final Map<ConnectionState, LinkedHashSet<ClientConnection>> standing =
            new EnumMap<>(ConnectionState.class);
    /** Those that were accepted, but not taken in yet. */
    private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();
    /** Those whose next call was read already. */
    private final LinkedHashSet<ClientConnection> readAhead = new LinkedHashSet<>();
    private final NextTick turn;
    private int thisTurn;
    private AcceptingChannel<StreamConnection> socket;
    private IoTimer sweep;
    private long receiving;
    /** When a connection last came or ended. */
    private Moment lastChange;
    private boolean lastCall;

    private record Arrival(StreamConnection connection, Moment at) {}

    /** Who is handed the clients' calls. */
    public interface Intake {
        void taken(ClientRequest call);
    }

    /** What a GET of one of the dispatcher's own paths brings. */
    public record Page(int status, String text) {}

    /**
     * Takes so many clients at once, then idle ones make room. Where there are none, so many spare ones are
     * still taken, and their connections end with their answers; the rest waits in the kernel's backlog. It
     * was closed unheard at first, and a rush of 900 clients lost the tasks of 381. {@code unread}: for how
     * long, at the
     * most, what is read now may have lain unread.
     */
    public ClientListener(XnioIoThread thread, ByteBufferPool buffers, Clock clock, Counters counters,
            int most,
            int spare, long mostReceiving, Span mostIdle, Intake intake, Supplier<Span> unread)
            throws IOException {
        this.thread = thread;
        this.clock = clock;
        this.counters = counters;
        this.most = most;
        this.spare = spare;
        this.mostReceiving = mostReceiving;
        this.mostIdle = mostIdle;
        this.intake = intake;
        this.unread = unread;
        turn = new NextTick(thread);
        for (ConnectionState s : ConnectionState.values()) {
            standing.put(s, new LinkedHashSet<>());
        }
        // Undertow reads only what has passed CallReader, whose bounds are the narrower ones.
        http = new HttpOpenListener(buffers, OptionMap.builder()
                .set(UndertowOptions.MAX_ENTITY_SIZE, (long) RequestReader.LARGEST)
                .set(UndertowOptions.MAX_HEADER_SIZE, 2 * RequestReader.LARGEST_HEAD)
                .set(UndertowOptions.MAX_HEADERS, 2 * RequestReader.MOST_FIELDS)
                .set(UndertowOptions.MAX_PARAMETERS, RequestReader.LARGEST_HEAD)
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .getMap());
        http.setRootHandler(this::handle);
        sweepLater();
    }

    public void addPage(String path, Supplier<Page> page) {
        pages.put(path, page);
    }

    public void listen(XnioWorker worker, InetSocketAddress address) throws IOException {
        ChannelListener<AcceptingChannel<StreamConnection>> accept = this::accept;
        socket = worker.createStreamConnectionServer(address, accept, OptionMap.builder()
                .set(Options.TCP_NODELAY, true).set(Options.REUSE_ADDRESSES, true)
                // Not one by one: in a rush each close had the accepting thread start and stop once.
                .set(Options.CONNECTION_HIGH_WATER, most + spare)
                .set(Options.CONNECTION_LOW_WATER, most + spare / 2)
                .set(Options.BACKLOG, BACKLOG).getMap());
        socket.resumeAccepts();
    }

    /**
     * All that wait are accepted at once: what lies in the kernel's backlog counts as taken already. But only
     * so many are
     * looked after before the sockets are: a rush of idle clients kept the thread at accepting and closing,
     * tasks and
     * answers lay unread for over a second, and descriptors that were closed and not given back yet went over
     * the limit.
     */
    private void accept(AcceptingChannel<StreamConnection> from) {
        try {
            for (StreamConnection c = from.accept(); c != null; c = from.accept()) {
                lastChange = clock.now();
                arrivals.add(new Arrival(c, cameBy()));
            }
            takeArrivals();
        } catch (IOException e) {
            Log.warn("accept", "broke", e.getMessage());
        }
    }

    private void takeArrivals() {
        while (!arrivals.isEmpty() && mayGoOn()) {
            Arrival next = arrivals.poll();
            serve(next.connection, next.at);
        }
    }

    /**
     * Whether one more may be taken in or closed before the sockets are looked at; what is left goes on after
     * that.
     */
    private boolean mayGoOn() {
        if (thisTurn == A_TURN) {
            return false;
        }
        if (thisTurn++ == 0) {
            turn.run(this::nextTurn);
        }
        return true;
    }

    private void nextTurn() {
        thisTurn = 0;
        List<ClientConnection> due = new ArrayList<>(readAhead);
        readAhead.clear();
        due.forEach(ClientConnection::readOn);
        if (lastCall) {
            drain();
        }
        takeArrivals();
    }

    /**
     * Hands on a call that was read ahead, once the other sockets have been looked at. XNIO runs what is
     * woken up before it looks, so a client that sent a thousand calls at once had all of them answered
     * first.
     */
    void readOnNextTurn(ClientConnection client) {
        readAhead.add(client);
        turn.run(this::nextTurn);
    }

    /** A new client. */
    public void serve(StreamConnection connection) {
        serve(connection, cameBy());
    }

    /** One that may have sent something since then. */
    private void serve(StreamConnection connection, Moment at) {
        counters.add(Counters.Name.CLIENT_CONNECTIONS);
        ClientConnection client = new ClientConnection(this, connection, at);
        connection.getSourceChannel().setConduit(client);
        open.put(connection, client);
        stands(client);
        makeRoom();
        http.handleEvent(connection);
    }

    /** Keeps it where it belongs, behind those that have stood so for longer. */
    void stands(ClientConnection client) {
        ConnectionState now = client.standing();
        if (now != client.listed && open.get(client.connection) == client) {
            relist(client, now);
        }
    }

    private void relist(ClientConnection client, ConnectionState as) {
        if (client.listed != null) {
            standing.get(client.listed).remove(client);
        }
        standing.get(as).add(client);
        client.listed = as;
        client.listedAt = clock.now();
    }

    private void unlist(ClientConnection client) {
        readAhead.remove(client);
        if (open.remove(client.connection) != null) {
            standing.get(client.listed).remove(client);
        }
        lastChange = clock.now();
        release(client);
    }

    /** More clients than are meant to stay. */
    boolean crowded() {
        return open.size() > most;
    }

    /**
     * Lets go whoever gives way first (see Standing), the longest so of them, at no cost that grows with
     * their number.
     * Hundreds of silent ones held all places while usual clients waited in the backlog, and ones that asked
     * for a page and
     * stayed pushed usual ones out. Whoever is in the midst of a call goes last: it loses a task, the others
     * nothing.
     */
    private void makeRoom() {
        while (crowded()) {
            ClientConnection least = least();
            if (least == null) {
                return;
            }
            if (least.listed == ConnectionState.ENDING ? sendsOn(least)
                    : least.listed != ConnectionState.GONE && heardMeanwhile(least)) {
                continue;
            }
            Log.warn("clients-full", "connections", open.size());
            counters.add(Counters.Name.CLIENT_CONNECTIONS_CLOSED_FOR_ROOM);
            close(least);
        }
    }

    private ClientConnection least() {
        for (ConnectionState s : ConnectionState.values()) {
            ClientConnection c = oldest(s);
            if (c != null && !stay(s).longerThan(clock.now().since(c.listedAt))) {
                return c;
            }
            if (s == ConnectionState.IDLE && full() && oldest(ConnectionState.ENDING) != null) {
                // A rush of answered ones waited 30 ms each for its place, and usual clients behind it.
                return oldest(ConnectionState.ENDING);
            }
        }
        return null;
    }

    private ClientConnection oldest(ConnectionState as) {
        Iterator<ClientConnection> in = standing.get(as).iterator();
        return as != ConnectionState.BUSY && in.hasNext() ? in.next() : null;
    }

    /** For how long one may stand so, however many others come. */
    private static Span stay(ConnectionState as) {
        return switch (as) {
            case ENDING, SILENT -> NEW;
            case IDLE, SENDING -> USUAL;
            default -> Span.ZERO;
        };
    }

    /** The spare places are taken too. */
    private boolean full() {
        return open.size() >= most + spare;
    }

    /**
     * Whether an ending client has gone by itself, or has just sent more and there is still a place for it.
     */
    private boolean sendsOn(ClientConnection client) {
        boolean came = readOff(client);
        if (came && open.containsKey(client.connection)) {
            relist(client, ConnectionState.ENDING);
        }
        return !open.containsKey(client.connection) || came && !full();
    }

    /** The one place where a client's connection is given back, but for those that it has ended itself. */
    private void close(ClientConnection client) {
        unlist(client);
        IoUtils.safeClose(client.connection);
    }

    /**
     * Whoever has had its time: silent, stalled within a call, turned away, or long idle. So many a time as
     * fit into a turn.
     */
    private void sweep() {
        Moment now = clock.now();
        for (ClientConnection c : new ArrayList<>(open.values())) {
            if (overdue(c, now)) {
                if (!mayGoOn()) {
                    break;
                }
                letGo(c);
            }
        }
        makeRoom();
    }

    private boolean overdue(ClientConnection c, Moment now) {
        Span been = now.since(c.since);
        if (!c.connection.isOpen()) {
            return true;
        }
        return switch (c.listed) {
            case GONE -> true;
            case BUSY -> false;
            case ENDING -> been.longerThan(LONGEST_END) || now.since(c.lastByte).longerThan(QUIET_END);
            default -> been.longerThan(c.due() ? WHOLE_CALL : c.usual ? mostIdle : NO_TASK);
        };
    }

    private void letGo(ClientConnection c) {
        switch (c.listed) {
            case ENDING -> {
                if (!readOff(c) || clock.now().since(c.since).longerThan(LONGEST_END)) {
                    close(c);
                }
            }
            case SILENT, SENDING -> late(c);
            default -> {
                if (!c.connection.isOpen() || c.listed == ConnectionState.GONE) {
                    close(c);
                } else if (!heardMeanwhile(c)) {
                    endBetweenCalls(c);
                }
            }
        }
    }

    /**
     * Whether more of it has come than was read: then this dispatcher was late, not its client. One that
     * stood still
     * for 2.6 s, and one that came late to its reads under a rush, closed clients whose whole tasks lay
     * unread. Asked
     * before any close of one that is not being answered.
     */
    private boolean heardMeanwhile(ClientConnection client) {
        boolean begun = client.begun();
        try {
            if (client.gone()) {
                close(client);
            } else if (client.busy()) {
                client.connection.getSourceChannel().wakeupReads();
            }
        } catch (IOException e) {
            close(client);
        }
        return client.busy() || client.ending() || client.begun() && !begun
                || !open.containsKey(client.connection);
    }

    private void late(ClientConnection client) {
        if (heardMeanwhile(client)) {
            return;
        }
        if (client.begun()) {
            unsound(client, 408, "half a call, and no more of it");
        } else {
            counters.add(Counters.Name.CLIENTS_TIMED_OUT);
            close(client);
        }
    }

    private void sweepLater() {
        sweep = IoTimer.in(thread, SWEEP, () -> {
            sweep();
            sweepLater();
        });
    }

    // ---- for clients

    Moment now() {
        return clock.now();
    }

    /** Since when what is read now may have been here. */
    Moment cameBy() {
        return clock.now().minus(unread.get());
    }

    /** For one read; nothing stays in it. */
    ByteBuffer scratch() {
        return scratch.clear();
    }

    /** Keeps room for what is coming in, or gives it back; false if there is none. */
    boolean claim(ClientConnection client, int bytes) {
        receiving += bytes - client.claim;
        client.claim = bytes;
        return bytes <= 0 || receiving <= mostReceiving;
    }

    /** It has sent more behind its call than is kept. */
    void sentAhead(ClientConnection client) {
        release(client);
        counters.add(Counters.Name.PIPELINED_INPUT_DROPPED);
        Log.warn("sent-ahead", "why", "more calls than are kept behind the one in hand", "dropped",
                "what follows it");
    }

    private void release(ClientConnection client) {
        receiving -= client.claim;
        client.claim = 0;
    }

    /** The word that a client waits for before it sends its body. */
    void goOn(ClientConnection client) {
        client.speaks(true);
        say(client, ByteBuffer.wrap(GO_ON), () -> {
            client.speaks(false);
            client.resumeReads();
        });
    }

    /**
     * Writes words of our own, where no exchange is at it: all of them, as the client takes them. They were
     * written once,
     * and what a client with a full buffer did not take at once was left out.
     */
    private void say(ClientConnection client, ByteBuffer words, Runnable said) {
        StreamSinkChannel sink = client.connection.getSinkChannel();
        try {
            while (words.hasRemaining()) {
                if (sink.write(words) == 0) {
                    client.connection.getSinkChannel().setWriteListener(c -> say(client, words, said));
                    sink.resumeWrites();
                    return;
                }
            }
            sink.suspendWrites();
            said.run();
        } catch (IOException e) {
            close(client);
        }
    }

    /** What it sent can't be taken as a call. It gets an answer, and is read off until it has read that. */
    void unsound(ClientConnection client, int status, String why) {
        counters.add(Counters.Name.REQUESTS_REFUSED);
        Log.warn("turned-down", "status", status, "why", why);
        ClientRequest call = client.call;
        client.end(clock.now());
        release(client);
        if (call != null) {
            call.unsound(status);
        } else {
            // Not from within Undertow's reading, which would set its own listener once more.
            thread.execute(() -> turnAway(client, status, why));
        }
    }

    /** Unread bytes at a close make a reset, and that may swallow the answer: so they are read first. */
    private void turnAway(ClientConnection client, int status, String why) {
        if (!client.connection.isOpen()) {
            return;
        }
        String answer =
                "HTTP/1.1 " + status + " " + StatusCodes.getReason(status) + "\r\nConnection: close\r\n"
                        + "Content-Length: " + (why.length() + 1) + "\r\n\r\n" + why + "\n";
        readOffFromNowOn(client);
        say(client, ByteBuffer.wrap(answer.getBytes(StandardCharsets.ISO_8859_1)), () -> endWrites(client));
    }

    private void readOffFromNowOn(ClientConnection client) {
        client.connection.getSourceChannel().setReadListener(c -> readOff(client));
        client.connection.getSourceChannel().resumeReads();
    }

    /**
     * Ends a connection on which nothing lies unread. Bytes that come after that look would make the close a
     * reset, which may swallow the answer before it. So the output is shut, the input read on, and the close
     * follows.
     */
    private void endBetweenCalls(ClientConnection client) {
        if (!client.known) {
            close(client);      // no answer went before
            return;
        }
        client.end(clock.now());
        release(client);
        readOffFromNowOn(client);
        endWrites(client);
    }

    private void endWrites(ClientConnection client) {
        try {
            client.connection.getSinkChannel().shutdownWrites();
            client.connection.getSinkChannel().flush();
        } catch (IOException e) {
            close(client);
        }
    }

    /**
     * Reads what an ending client has sent: unread bytes would make the close a reset, which swallows what it
     * has not read
     * of its answer. True if any had come. One that has gone is closed.
     */
    private boolean readOff(ClientConnection client) {
        boolean came = false;
        try {
            for (int i = 0; i < ENDS_READ; i++) {
                int count = client.readOff();
                if (count < 0) {
                    close(client);
                    return came;
                }
                if (count == 0) {
                    return came;
                }
                came = true;
            }
        } catch (IOException e) {
            close(client);
        }
        return came;
    }

    private void handle(HttpServerExchange exchange) {
        ClientConnection client = client(exchange);
        Supplier<Page> page = pages.get(exchange.getRequestURI());
        if (page != null && (exchange.getRequestMethod().equals(Methods.GET)
                || exchange.getRequestMethod().equals(Methods.HEAD))) {
            Page p = page.get();
            exchange.setPersistent(exchange.isPersistent() && !ends());
            exchange.setStatusCode(p.status());
            exchange.getResponseSender().send(p.text());
            return;
        }
        exchange.getRequestReceiver().receiveFullBytes(
                (e, bytes) -> e.dispatch(SameThreadExecutor.INSTANCE, () -> {
                    client.call = new ClientRequest(this, client, e, bytes);
                    intake.taken(client.call);
                }), (e, why) -> {
                    e.setPersistent(false);
                    e.setStatusCode(400);
                    e.endExchange();
                });
    }

    /** Its connection is looked after until the whole answer is written. */
    private ClientConnection client(HttpServerExchange exchange) {
        AbstractServerConnection connection = (AbstractServerConnection) exchange.getConnection();
        ClientConnection client = open.get(connection.getChannel());
        if (!client.watched) {
            client.watched = true;
            connection.addCloseListener(c -> ended(client));
        }
        exchange.addExchangeCompleteListener((e, next) -> {
            client.call = null;
            client.answered(clock.now(), !e.isPersistent());
            next.proceed();
        });
        return client;
    }

    private void ended(ClientConnection client) {
        unlist(client);
        ClientRequest call = client.call;
        client.call = null;
        if (call != null) {
            call.closed();
        }
    }

    /** Connections end with their answers. */
    boolean ends() {
        return lastCall || crowded();
    }

    /** The stop has begun: who comes is looked out for; all goes on being taken. */
    public void beginShutdown() {
        lastChange = clock.now();
    }

    /**
     * The end is near: connections end between calls, as often as this is called. Who has come just now,
     * perhaps since its
     * call crossed such an end, or is in the midst of one, may send it; who is being answered reads its
     * answer first.
     */
    public void drain() {
        lastCall = true;
        Moment now = clock.now();
        for (ClientConnection c : new ArrayList<>(open.values())) {
            boolean comes = c.due() && !now.since(c.since).longerThan(WHOLE_CALL);
            if (!c.busy() && !c.ending() && !comes) {
                if (!mayGoOn()) {
                    return;
                }
                if (!heardMeanwhile(c)) {
                    endBetweenCalls(c);
                }
            }
        }
    }

    /** Whether nobody has come or gone for so long. */
    public boolean isUnchangedFor(Span span) {
        return clock.now().since(lastChange).longerThan(span);
    }

    public boolean isEmpty() {
        return open.isEmpty() && arrivals.isEmpty();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return socket.getLocalAddress(InetSocketAddress.class);
    }

    /** Of those that were taken in. */
    public int connectionCount() {
        return open.size();
    }

    /** Gives back the socket, the connections, the timer and the pipe. */
    public void close() {
        IoUtils.safeClose(socket);
        sweep.cancel();
        arrivals.forEach(a -> IoUtils.safeClose(a.connection));
        arrivals.clear();
        for (ClientConnection client : new ArrayList<>(open.values())) {
            readOff(client);
            IoUtils.safeClose(client.connection);
        }
        open.clear();
        standing.values().forEach(LinkedHashSet::clear);
        turn.close();
    }
}
