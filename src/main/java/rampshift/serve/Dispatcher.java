package rampshift.serve;

import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import org.xnio.XnioIoThread;
import rampshift.clients.Door;
import rampshift.connections.Dialer;
import rampshift.counters.Counters;
import rampshift.decide.Settings;
import rampshift.decide.TrafficType;
import rampshift.settings.Configuration;
import rampshift.settings.Platform;
import rampshift.stages.Admit;
import rampshift.stages.Book;
import rampshift.stages.Pulse;
import rampshift.stages.Relay;
import rampshift.stages.Route;
import rampshift.stages.Send;
import rampshift.stages.TakeIn;
import rampshift.time.Clock;
import rampshift.time.Span;
import rampshift.workers.Pool;

/** One set of the parts between clients and workers, and how the limits are shared out among them. */
final class Dispatcher {
    private static final int RESERVED = 64;            // descriptors of the JVM, its files and discovery
    private static final int LEAST = 8;                // that a file of few descriptors still serves with
    private static final double TO_WORKERS = 0.4;      // of the descriptors left
    private static final double SPARE = 0.1;           // of the clients' part: taken in only to be bounced
    private static final double BODIES = 0.08;         // of the memory: what tasks in hand may hold
    private static final double RECEIVING = 0.08;      // of the memory: bodies that are coming in
    private static final double CLIENT_IDLE = 4;       // longest expiries until a silent client is dropped

    final Door door;
    final Book book;
    final Route route;
    final Span longest;
    final Span grace;
    final Admit admit;
    private final Pool pool;
    private final Pulse pulse;

    Dispatcher(XnioIoThread thread, ByteBufferPool buffers, Dialer dialer, Clock clock, Counters counters,
            Configuration configuration, int beside) throws IOException {
        Settings settings = configuration.settings.read(configuration.seed);
        Platform platform = configuration.settings.platform();
        int sockets = Math.max(LEAST, configuration.sockets - RESERVED - beside);
        int toWorkers = (int) (sockets * TO_WORKERS);
        int clients = sockets - toWorkers;
        int spare = (int) (clients * SPARE);
        longest = settings.types.stream().map(TrafficType::expiry).reduce(Span.ZERO, Span::orLonger);
        grace = settings.drainGrace;
        pool = new Pool(thread, dialer, clock, platform, counters, toWorkers);
        book = new Book(counters);
        Relay relay = new Relay(book);
        route = new Route(thread, clock, settings, platform, pool, book, new Send(pool, clock, book), relay);
        admit = new Admit(Math.min(platform.mostOpen(), clients - spare),
                (long) (configuration.memoryMb * BODIES * (1 << 20)), clock, book, relay, route);
        pulse = new Pulse(thread, clock);
        door = new Door(thread, buffers, clock, counters, clients - spare, spare,
                (long) (configuration.memoryMb * RECEIVING * (1 << 20)), longest.times(CLIENT_IDLE),
                new TakeIn(settings, platform, counters, book, admit), pulse::unread);
    }

    /** Called before each first byte to a worker. */
    void beforeFirstByte(Runnable look) {
        pool.beforeFirstByte(look);
    }

    /** The stop is near: what still comes is bounced, connections end. */
    void lastCall() {
        admit.close();
        door.lastCall();
    }

    void close() {
        pulse.close();
        door.close();
        pool.close();
        route.close();
    }
}
