package rampshift.workers;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.xnio.XnioIoThread;
import rampshift.connections.Dialer;
import rampshift.connections.HttpConnection;
import rampshift.counters.Counters;
import rampshift.settings.HostSettings;
import rampshift.time.Clock;
import rampshift.time.IoTimer;
import rampshift.time.Moment;
import rampshift.time.Span;

/** All connections to workers: it owns the idle ones, and lends them to assignments and probes. */
public final class ConnectionPool {
    private static final double IDLE_SHARE = 0.5;      // of the time after which a worker may close it
    // of that time, tasks that must not run twice avoid kept ones
    private static final double STALE_SHARE = 0.5;
    private static final Span LINGER = Span.ofMillis(1000);
    private static final Span SWEEP = Span.ofMillis(500);

    final XnioIoThread thread;
    final HostSettings platform;
    final Counters counters;
    private final Clock clock;
    private final Dialer dialer;
    private final int most;
    private final Map<Long, WorkerEndpoint> places = new HashMap<>();
    private final Set<WorkerExchange> lingering = new LinkedHashSet<>();
    private int idle;
    private Moment lastStale;
    private boolean closed;
    private IoTimer sweep;
    /** Has it read what the list service has written, before a first byte goes by an old list. */
    Runnable beforeFirstByte = () -> {};

    public ConnectionPool(XnioIoThread thread, Dialer dialer, Clock clock, HostSettings platform,
            Counters counters,
            int most) {
        this.thread = thread;
        this.dialer = dialer;
        this.clock = clock;
        this.platform = platform;
        this.counters = counters;
        this.most = most;
        sweepLater();
    }

    /** Called before each first byte of an assignment. */
    public void beforeFirstByte(Runnable look) {
        beforeFirstByte = look;
    }

    /**
     * What a list tells of a worker; with no address it can't be sent to. Where: its zone and kind. In
     * another one it is not what tasks were decided for: those that are not out yet are told as never sent.
     */
    public void updateWorker(long number, String uid, InetSocketAddress address, String where, long bootMs,
            boolean ready) {
        WorkerEndpoint place = places.computeIfAbsent(number, n -> new WorkerEndpoint(n, uid));
        boolean other = address != null && !address.equals(place.address) || bootMs != place.bootMs
                || !where.equals(place.where);
        place.life += other ? 1 : 0;
        place.address = address == null ? place.address : address;
        place.where = where;
        place.bootMs = bootMs;
        place.ready = ready;
        if (other || !ready) {
            dropIdle(place);
        }
    }

    /** A whole list follows: what it does not name is gone. */
    public void beginFullList() {
        for (WorkerEndpoint place : places.values()) {
            place.ready = false;
        }
    }

    public void endFullList() {
        for (WorkerEndpoint place : places.values()) {
            if (!place.ready) {
                dropIdle(place);
            }
        }
    }

    public boolean isReady(long number) {
        WorkerEndpoint place = places.get(number);
        return place != null && place.ready;
    }

    /** May tell before it returns. */
    public AttemptExchange startAttempt(long number, String txn, boolean once, Moment expiry,
            Supplier<ByteBuffer[]> message,
            Span timeout, AttemptExchange.Told told) {
        AttemptExchange a =
                new AttemptExchange(this, places.get(number), txn, once, expiry, message, timeout, told);
        a.start();
        return a;
    }

    /** May tell before it returns. */
    public void checkHealth(long number, Probed told) {
        new HealthCheck(this, places.get(number), told::echoed).start();
    }

    /** Who is told of a probe's end. */
    public interface Probed {
        void echoed(long worker, boolean answered, LoadReport load);
    }

    // ---- for errands

    Moment now() {
        return clock.now();
    }

    /**
     * One that was kept, is not older than they are kept, and has not been ended meanwhile; null where there
     * is none. With
     * {@code quiet} it has been idle for that long: an answer that comes twice, the second time late, is not
     * taken for the
     * next one's.
     */
    HttpConnection idle(WorkerEndpoint place, Span quiet) {
        Moment now = clock.now();
        while (!place.idle.isEmpty()) {
            boolean oldest = quiet.micros() > 0;
            HttpConnection c = oldest ? place.idle.peekLast() : place.idle.peek();
            Span been = now.since(c.idleSince);
            if (!been.longerThan(mostIdle()) && quiet.longerThan(been)) {
                return null;
            }
            place.idle.remove(c);
            idle--;
            if (!been.longerThan(mostIdle()) && c.verifyOpen()) {
                counters.add(Counters.Name.CONNECTIONS_REUSED);
                return c;
            }
            counters.add(Counters.Name.IDLE_CONNECTIONS_CLOSED);
            c.close();
        }
        return null;
    }

    private Span mostIdle() {
        return platform.connectionIdle().times(IDLE_SHARE);
    }

    /** Whether one more may be opened; the connection that idled longest makes room. */
    boolean room() {
        if (dialer.openCount() >= most && idle > 0) {
            WorkerEndpoint with = null;
            for (WorkerEndpoint p : places.values()) {
                if (!p.idle.isEmpty() && (with == null
                        || p.idle.peekLast().idleSince.before(with.idle.peekLast().idleSince))) {
                    with = p;
                }
            }
            dropOldest(with);
        }
        return dialer.openCount() < most;
    }

    Dialer.Dial dial(WorkerEndpoint place, WorkerExchange errand) {
        counters.add(Counters.Name.CONNECTIONS_DIALED);
        return dialer.dial(place.address, platform.dialTimeout(), errand);
    }

    void giveBack(WorkerEndpoint place, int life, HttpConnection connection) {
        // One that was out while its worker moved is to the old address: kept, it was used on and on.
        if (closed || !connection.isReusable() || !place.ready || life != place.life) {
            connection.close();
            return;
        }
        connection.idleSince = clock.now();
        connection.onIdleClose(() -> {
            if (place.idle.remove(connection)) {
                idle--;
            }
        });
        place.idle.push(connection);
        idle++;
    }

    /** Whether kept connections have turned out stale of late. */
    boolean staleOnes() {
        return lastStale != null
                && !clock.now().since(lastStale).longerThan(platform.connectionIdle().times(STALE_SHARE));
    }

    /** Those kept to that worker may be reset too: they are not used any more. */
    void suspect(WorkerEndpoint place) {
        lastStale = clock.now();
        dropIdle(place);
    }

    void linger(WorkerExchange errand) {
        errand.lingersSince = clock.now();
        lingering.add(errand);
    }

    void lingerEnds(WorkerExchange errand) {
        lingering.remove(errand);
    }

    // ---- the idle ones

    private void dropIdle(WorkerEndpoint place) {
        while (!place.idle.isEmpty()) {
            dropOldest(place);
        }
    }

    private void dropOldest(WorkerEndpoint place) {
        idle--;
        counters.add(Counters.Name.IDLE_CONNECTIONS_CLOSED);
        place.idle.pollLast().close();
    }

    /** Gives back the idle connections and the timer. */
    public void close() {
        closed = true;
        sweep.cancel();
        places.values().forEach(this::dropIdle);
    }

    private void sweepLater() {
        sweep = IoTimer.in(thread, SWEEP, this::sweep);
    }

    private void sweep() {
        Moment now = clock.now();
        for (WorkerEndpoint place : places.values()) {
            while (!place.idle.isEmpty()
                    && now.since(place.idle.peekLast().idleSince).longerThan(mostIdle())) {
                dropOldest(place);
            }
        }
        List<WorkerExchange> late = new ArrayList<>();
        for (Iterator<WorkerExchange> i = lingering.iterator(); i.hasNext();) {
            WorkerExchange e = i.next();
            if (now.since(e.lingersSince).longerThan(LINGER)) {
                late.add(e);
            }
        }
        late.forEach(WorkerExchange::over);
        sweepLater();
    }
}
