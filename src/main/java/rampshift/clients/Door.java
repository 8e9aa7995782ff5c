package rampshift.clients;

import io.undertow.UndertowOptions;
import io.undertow.io.Receiver;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
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
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Takes in clients: it owns the listening socket and all connections from them. */
public final class Door {
    private static final int LARGEST_BODY = 64 * 1024;
    private static final int LARGEST_HEAD = 16 * 1024;
    private static final int MOST_FIELDS = 64;
    private static final Span HALF_HEAD = Span.ofMillis(10_000);
    private static final Span SWEEP = Span.ofMillis(1000);

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final Clock clock;
    private final Counters counters;
    private final int most;
    private final Intake intake;
    private final Map<String, Supplier<Page>> pages = new HashMap<>();
    /** All open connections, the one that idles longest first; and whether a call is on them. */
    private final LinkedHashMap<StreamConnection, Boolean> open = new LinkedHashMap<>(64, 0.75f, true);
    private HttpOpenListener http;
    private AcceptingChannel<StreamConnection> socket;
    private Moment lastNew;
    private boolean stopping;

    /** Who is handed the clients' calls. */
    public interface Intake {
        void taken(Call call);
    }

    /** What a GET of one of the dispatcher's own paths brings. */
    public record Page(int status, String text) { }

    public Door(XnioWorker worker, XnioIoThread thread, Clock clock, Counters counters, int most, Intake intake) {
        this.worker = worker;
        this.thread = thread;
        this.clock = clock;
        this.counters = counters;
        this.most = most;
        this.intake = intake;
    }

    public void page(String path, Supplier<Page> page) {
        pages.put(path, page);
    }

    public void open(InetSocketAddress address, ByteBufferPool buffers) throws IOException {
        http = new HttpOpenListener(buffers, OptionMap.builder()
                .set(UndertowOptions.MAX_ENTITY_SIZE, (long) LARGEST_BODY)
                .set(UndertowOptions.MAX_HEADER_SIZE, LARGEST_HEAD)
                .set(UndertowOptions.MAX_HEADERS, MOST_FIELDS)
                .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, (int) HALF_HEAD.millis())
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .getMap());
        http.setRootHandler(new HttpContinueReadHandler(this::handle));
        ChannelListener<AcceptingChannel<StreamConnection>> accept = this::accept;
        socket = worker.createStreamConnectionServer(address, accept, OptionMap.builder()
                .set(Options.TCP_NODELAY, true).set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, 1024).getMap());
        socket.resumeAccepts();
        lastNew = clock.now();
        sweepLater();
    }

    /** All that wait are taken at once: what lies in the kernel's backlog is taken already. */
    private void accept(AcceptingChannel<StreamConnection> from) {
        try {
            for (StreamConnection c = from.accept(); c != null; c = from.accept()) {
                counters.add(Counters.Name.CLIENT_CONNECTIONS);
                lastNew = clock.now();
                if (open.size() >= most) {
                    makeRoom();
                }
                open.put(c, false);
                http.handleEvent(c);
            }
        } catch (IOException e) {
            rampshift.log.Log.warn("accept", "failed", e.getMessage());
        }
    }

    /** A connection may be closed between calls: the one that has idled longest goes. */
    private void makeRoom() {
        sweep();
        for (Iterator<Map.Entry<StreamConnection, Boolean>> i = open.entrySet().iterator();
                i.hasNext() && open.size() >= most;) {
            Map.Entry<StreamConnection, Boolean> e = i.next();
            if (!e.getValue()) {
                i.remove();
                counters.add(Counters.Name.CLIENT_CONNECTIONS_CLOSED_FOR_ROOM);
                IoUtils.safeClose(e.getKey());
            }
        }
    }

    private void sweep() {
        open.keySet().removeIf(c -> !c.isOpen());
    }

    private void sweepLater() {
        thread.executeAfter(() -> {
            sweep();
            sweepLater();
        }, SWEEP.micros(), TimeUnit.MICROSECONDS);
    }

    private void handle(HttpServerExchange exchange) {
        Supplier<Page> page = pages.get(exchange.getRequestURI());
        if (page != null && (exchange.getRequestMethod().equals(Methods.GET)
                || exchange.getRequestMethod().equals(Methods.HEAD))) {
            Page p = page.get();
            exchange.setStatusCode(p.status());
            exchange.getResponseSender().send(p.text());
            return;
        }
        open.put(channel(exchange), true);
        Receiver body = exchange.getRequestReceiver();
        body.receiveFullBytes((e, bytes) -> e.dispatch(SameThreadExecutor.INSTANCE,
                () -> intake.taken(new Call(this, e, bytes))), (e, broken) -> unread(e, broken));
    }

    private void unread(HttpServerExchange exchange, IOException why) {
        counters.add(Counters.Name.TURNED_DOWN);
        open.put(channel(exchange), false);
        exchange.setPersistent(false);
        exchange.setStatusCode(why instanceof io.undertow.server.RequestTooBigException
                || why instanceof Receiver.RequestToLargeException ? 413 : 400);
        exchange.endExchange();
    }

    private static StreamConnection channel(HttpServerExchange exchange) {
        return ((AbstractServerConnection) exchange.getConnection()).getChannel();
    }

    /** The call on this connection is over. */
    void done(Call call, HttpServerExchange exchange) {
        StreamConnection c = channel(exchange);
        if (open.containsKey(c)) {
            open.put(c, false);
        }
    }

    boolean stopping() {
        return stopping;
    }

    /** The stop has begun: connections end between calls, new ones and their calls go on being taken. */
    public void beginStop() {
        stopping = true;
        sweep();
        for (Map.Entry<StreamConnection, Boolean> e : open.entrySet()) {
            if (!e.getValue()) {
                IoUtils.safeClose(e.getKey());
            }
        }
        sweep();
    }

    /** Nobody is left, and nobody has come for this long. */
    public boolean quietFor(Span span) {
        sweep();
        return open.isEmpty() && clock.now().since(lastNew).longerThan(span);
    }

    public int connections() {
        return open.size();
    }

    public void close() {
        IoUtils.safeClose(socket);
        sweep();
        open.keySet().forEach(IoUtils::safeClose);
        open.clear();
    }
}
