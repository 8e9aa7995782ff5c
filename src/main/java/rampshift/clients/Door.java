package rampshift.clients;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.io.Receiver;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import rampshift.counters.Counters;
import rampshift.log.Log;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Takes in clients: it owns the listening socket and all connections from them. */
public final class Door {
    private static final int LARGEST_BODY = 64 * 1024;
    private static final int LARGEST_HEAD = 16 * 1024;
    private static final int MOST_FIELDS = 64;
    private static final int BACKLOG = 1024;
    private static final Span HALF_HEAD = Span.ofMillis(10_000);
    private static final Span FIRST_CALL = Span.ofMillis(1000);   // that a new client has to send something
    private static final Span SWEEP = Span.ofMillis(100);

    private final XnioIoThread thread;
    private final Clock clock;
    private final Counters counters;
    private final int most;
    private final int spare;
    private final long mostReceiving;
    private final Intake intake;
    private final HttpOpenListener http;
    private final Map<String, Supplier<Page>> pages = new HashMap<>();
    /** All open connections, the one that idles longest first. */
    private final LinkedHashMap<StreamConnection, Client> open = new LinkedHashMap<>(64, 0.75f, true);
    private AcceptingChannel<StreamConnection> socket;
    private XnioExecutor.Key sweep;
    private long receiving;
    private Moment lastNew;
    private boolean stopping;

    /** What is on a client's connection. */
    private static final class Client {
        Moment idleSince;
        /** A call came and its answer is not wholly written. */
        boolean busy;
        /** Bytes of a body that is coming in. */
        int receiving;
        boolean watched;
        Call call;
    }

    /** Who is handed the clients' calls. */
    public interface Intake {
        void taken(Call call);
    }

    /** What a GET of one of the dispatcher's own paths brings. */
    public record Page(int status, String text) { }

    /**
     * Takes so many clients at once, then idle ones make room. Where there are none, so many spare ones are
     * still taken, and their connections end with their answers; the rest waits in the kernel's backlog. It
     * was closed unheard at first, and a rush of 900 clients lost the tasks of 381.
     */
    public Door(XnioIoThread thread, ByteBufferPool buffers, Clock clock, Counters counters, int most,
            int spare, long mostReceiving, Span mostIdle, Intake intake) {
        this.thread = thread;
        this.clock = clock;
        this.counters = counters;
        this.most = most;
        this.spare = spare;
        this.mostReceiving = mostReceiving;
        this.intake = intake;
        http = new HttpOpenListener(buffers, OptionMap.builder()
                .set(UndertowOptions.MAX_ENTITY_SIZE, (long) LARGEST_BODY)
                .set(UndertowOptions.MAX_HEADER_SIZE, LARGEST_HEAD)
                .set(UndertowOptions.MAX_HEADERS, MOST_FIELDS)
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, (int) HALF_HEAD.millis())
                .set(UndertowOptions.IDLE_TIMEOUT, (int) mostIdle.millis())
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .getMap());
        http.setRootHandler(new HttpContinueReadHandler(this::handle));
        sweepLater();
    }

    public void page(String path, Supplier<Page> page) {
        pages.put(path, page);
    }

    public void open(XnioWorker worker, InetSocketAddress address) throws IOException {
        ChannelListener<AcceptingChannel<StreamConnection>> accept = this::accept;
        socket = worker.createStreamConnectionServer(address, accept, OptionMap.builder()
                .set(Options.TCP_NODELAY, true).set(Options.REUSE_ADDRESSES, true)
                .set(Options.CONNECTION_HIGH_WATER, most + spare)
                .set(Options.CONNECTION_LOW_WATER, most + spare - 1)
                .set(Options.BACKLOG, BACKLOG).getMap());
        socket.resumeAccepts();
    }

    /** All that wait are taken at once: what lies in the kernel's backlog counts as taken already. */
    private void accept(AcceptingChannel<StreamConnection> from) {
        try {
            for (StreamConnection c = from.accept(); c != null; c = from.accept()) {
                accepted(c);
            }
        } catch (IOException e) {
            Log.warn("accept", "broke", e.getMessage());
        }
    }

    /** A new client. */
    public void accepted(StreamConnection connection) {
        counters.add(Counters.Name.CLIENT_CONNECTIONS);
        lastNew = clock.now();
        Client client = new Client();
        client.idleSince = lastNew;
        open.put(connection, client);
        if (crowded()) {
            makeRoom();
        }
        http.handleEvent(connection);
    }

    /** More clients than are meant to stay. */
    boolean crowded() {
        return open.size() > most;
    }

    /** A connection may be closed between calls: the ones that have idled longest go, not those just come. */
    private void makeRoom() {
        sweep();
        Moment now = clock.now();
        for (Map.Entry<StreamConnection, Client> e : new ArrayList<>(open.entrySet())) {
            if (!crowded()) {
                return;
            }
            Client client = e.getValue();
            Span least = client.watched ? SWEEP : FIRST_CALL;
            if (!client.busy && now.since(client.idleSince).longerThan(least)) {
                Log.warn("clients-full", "connections", open.size());
                counters.add(Counters.Name.CLIENT_CONNECTIONS_CLOSED_FOR_ROOM);
                closeIdle(e.getKey());
            }
        }
    }

    private void closeIdle(StreamConnection connection) {
        open.remove(connection);
        IoUtils.safeClose(connection);
    }

    /** Those that ended without any call. */
    private void sweep() {
        open.keySet().removeIf(c -> !c.isOpen());
    }

    private void sweepLater() {
        sweep = thread.executeAfter(() -> {
            sweep();
            if (crowded()) {
                makeRoom();
            }
            sweepLater();
        }, SWEEP.micros(), TimeUnit.MICROSECONDS);
    }

    private void handle(HttpServerExchange exchange) {
        Client client = client(exchange);
        Supplier<Page> page = pages.get(exchange.getRequestURI());
        if (page != null && (exchange.getRequestMethod().equals(Methods.GET)
                || exchange.getRequestMethod().equals(Methods.HEAD))) {
            Page p = page.get();
            exchange.setStatusCode(p.status());
            exchange.getResponseSender().send(p.text());
            return;
        }
        String coding = exchange.getRequestHeaders().getFirst(Headers.TRANSFER_ENCODING);
        if (coding != null && !coding.equalsIgnoreCase("chunked")) {
            // Undertow reads such a body until the client closes: the client would wait forever.
            turnDown(exchange, 501);
            return;
        }
        long size = exchange.getRequestContentLength();
        client.receiving = size < 0 || size > LARGEST_BODY ? LARGEST_BODY : (int) size;
        receiving += client.receiving;
        if (receiving > mostReceiving) {
            // Hundreds of clients that stall within large bodies would fill the memory.
            turnDown(exchange, 503);
            return;
        }
        Receiver body = exchange.getRequestReceiver();
        body.receiveFullBytes((e, bytes) -> e.dispatch(SameThreadExecutor.INSTANCE, () -> {
            received(client);
            client.call = new Call(this, e, bytes);
            intake.taken(client.call);
        }), this::unread);
    }

    /** Gives back its part of what may be received at a time. */
    private void received(Client client) {
        receiving -= client.receiving;
        client.receiving = 0;
    }

    /** Marks its connection as busy until the whole answer is written. */
    private Client client(HttpServerExchange exchange) {
        AbstractServerConnection connection = (AbstractServerConnection) exchange.getConnection();
        StreamConnection channel = connection.getChannel();
        Client client = open.computeIfAbsent(channel, c -> new Client());
        client.busy = true;
        if (!client.watched) {
            client.watched = true;
            connection.addCloseListener(c -> ended(channel, client));
        }
        exchange.addExchangeCompleteListener((e, next) -> {
            received(client);
            client.busy = false;
            client.idleSince = clock.now();
            client.call = null;
            next.proceed();
        });
        return client;
    }

    private void ended(StreamConnection channel, Client client) {
        open.remove(channel);
        received(client);
        Call call = client.call;
        client.call = null;
        if (call != null) {
            call.closed();
        }
    }

    private void unread(HttpServerExchange exchange, IOException why) {
        turnDown(exchange, why instanceof RequestTooBigException
                || why instanceof Receiver.RequestToLargeException ? 413 : 400);
    }

    /** What was not read to its end leaves the connection in no known state. */
    private void turnDown(HttpServerExchange exchange, int status) {
        counters.add(Counters.Name.TURNED_DOWN);
        Log.warn("turned-down", "status", status, "why", "a body that cannot be taken");
        exchange.setPersistent(false);
        exchange.setStatusCode(status);
        exchange.getResponseSender().send("a body that cannot be taken\n");
    }

    boolean stopping() {
        return stopping;
    }

    /** The stop has begun: connections end between calls; new ones and their calls go on being taken. */
    public void beginStop() {
        stopping = true;
        lastNew = clock.now();
        closeAllIdle();
    }

    private void closeAllIdle() {
        for (Map.Entry<StreamConnection, Client> e : new ArrayList<>(open.entrySet())) {
            if (!e.getValue().busy) {
                closeIdle(e.getKey());
            }
        }
    }

    /** Whether no call is on and nobody new has come for so long; those who came and said nothing may go. */
    public boolean quietFor(Span span) {
        if (!clock.now().since(lastNew).longerThan(span)) {
            return false;
        }
        closeAllIdle();
        return open.isEmpty();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return socket.getLocalAddress(InetSocketAddress.class);
    }

    public int connections() {
        return open.size();
    }

    /** Gives back the socket, the connections and the timer. */
    public void close() {
        IoUtils.safeClose(socket);
        sweep.remove();
        new ArrayList<>(open.keySet()).forEach(IoUtils::safeClose);
        open.clear();
    }
}
