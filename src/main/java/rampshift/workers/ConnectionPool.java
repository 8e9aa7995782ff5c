package rampshift.workers;

import java.util.HashMap;
import java.util.Map;
import org.xnio.XnioIoThread;
import rampshift.connections.Dialer;
import rampshift.connections.HttpConnection;
import rampshift.counters.Counters;
import rampshift.settings.HostSettings;
import rampshift.time.Clock;
import rampshift.time.IoTimer;
import rampshift.time.Moment;
import rampshift.time.ReadBarrier;
import rampshift.time.Span;

/**
 * All connections to workers. It owns the idle ones, and lends them to attempts and health checks. To be
 * used on the I/O thread alone.
 */
public final class ConnectionPool {
    /** The share of a worker's idle timeout after which an idle connection is not reused any more. */
    private static final double MAX_IDLE_SHARE = 0.5;
    /**
     * The share of a worker's idle timeout for which non-idempotent tasks avoid idle connections after a
     * stale one.
     */
    private static final double STALE_SHARE = 0.5;
    private static final Span CLEANUP_INTERVAL = Span.ofMillis(500);

    private final XnioIoThread thread;
    private final HostSettings settings;
    private final Counters counters;
    private final Clock clock;
    private final Dialer dialer;
    private final int maxConnections;
    private final LoadReportReader loadReportReader;
    private final Map<Long, WorkerEndpoint> endpoints = new HashMap<>();
    private final IdleConnectionCache idleConnections;
    private final LingeringExchanges lingeringExchanges;
    private Moment lastStaleAt;
    private boolean closed;
    private IoTimer cleanupTimer;
    private Runnable firstByteHook = () -> {};

    /**
     * Creates a pool that knows no workers yet.
     *
     * @param maxConnections the largest number of connections to workers, idle ones and dials included
     */
    public ConnectionPool(XnioIoThread thread, Dialer dialer, Clock clock, HostSettings settings,
            Counters counters,
            int maxConnections) {
        this.thread = thread;
        this.dialer = dialer;
        this.clock = clock;
        this.settings = settings;
        this.counters = counters;
        this.maxConnections = maxConnections;
        loadReportReader = new LoadReportReader(settings.freeSlotsField(), settings.freeMemoryField());
        idleConnections = new IdleConnectionCache(endpoints.values(), clock, counters,
                settings.connectionIdleTimeout().times(MAX_IDLE_SHARE));
        lingeringExchanges = new LingeringExchanges(clock);
        scheduleCleanup();
    }

    /**
     * Sets what runs before the first byte of each attempt is written. It reads what the discovery
     * service has sent, so that no attempt starts by an outdated endpoint list.
     */
    public void beforeFirstByte(Runnable hook) {
        firstByteHook = hook;
    }

    /**
     * Applies an entry of the endpoint list. A worker with another placement is not the one that tasks
     * were assigned to: attempts that have not been written yet are reported as not sent.
     */
    public void updateWorker(WorkerListing listing) {
        WorkerEndpoint endpoint = endpoints.computeIfAbsent(listing.number(),
                number -> new WorkerEndpoint(number, listing.uid()));
        if (endpoint.update(listing)) {
            idleConnections.closeAll(endpoint);
        }
    }

    /** A full endpoint list follows: workers that it doesn't name are removed. */
    public void beginFullList() {
        endpoints.values().forEach(WorkerEndpoint::markNotReady);
    }

    /** The full endpoint list is complete. */
    public void endFullList() {
        for (WorkerEndpoint endpoint : endpoints.values()) {
            if (!endpoint.isReady()) {
                idleConnections.closeAll(endpoint);
            }
        }
    }

    /** Whether the worker takes new tasks, by the latest endpoint list. */
    public boolean isReady(long workerNumber) {
        WorkerEndpoint endpoint = endpoints.get(workerNumber);
        return endpoint != null && endpoint.isReady();
    }

    /**
     * Sends a task to a worker that has been listed. The listener may be called before this method returns.
     *
     * @return the attempt, which can be cancelled
     */
    public AttemptExchange startAttempt(long workerNumber, AttemptRequest request, AttemptListener listener) {
        AttemptExchange attempt = new AttemptExchange(this, endpoints.get(workerNumber), request, listener);
        attempt.start();
        return attempt;
    }

    /**
     * Checks the health of a worker that has been listed. The listener may be called before this method
     * returns.
     */
    public void checkHealth(long workerNumber, HealthCheckListener listener) {
        new HealthCheck(this, endpoints.get(workerNumber), listener).start();
    }

    /**
     * Closes the idle connections and stops the timer. Connections that are lent are closed when they are
     * returned.
     */
    public void close() {
        closed = true;
        cleanupTimer.cancel();
        idleConnections.closeAll();
    }

    XnioIoThread thread() {
        return thread;
    }

    ReadBarrier readBarrier() {
        return dialer.readBarrier();
    }

    Counters counters() {
        return counters;
    }

    LoadReportReader loadReportReader() {
        return loadReportReader;
    }

    LingeringExchanges lingeringExchanges() {
        return lingeringExchanges;
    }

    Span dialTimeout() {
        return settings.dialTimeout();
    }

    Moment now() {
        return clock.now();
    }

    void runFirstByteHook() {
        firstByteHook.run();
    }

    /** Lends an idle connection, see {@link IdleConnectionCache#take}; null if there is none. */
    HttpConnection takeIdle(WorkerEndpoint endpoint, Span minIdleTime) {
        return idleConnections.take(endpoint, minIdleTime);
    }

    /**
     * Whether one more connection may be opened. The connection that has been idle for longest is closed
     * for it.
     */
    boolean makeRoom() {
        if (dialer.openCount() >= maxConnections && !idleConnections.isEmpty()) {
            idleConnections.closeOldest();
        }
        return dialer.openCount() < maxConnections;
    }

    Dialer.Dial dial(WorkerEndpoint endpoint, Dialer.DialListener listener) {
        counters.add(Counters.Name.CONNECTIONS_DIALED);
        return dialer.dial(endpoint.address(), settings.dialTimeout(), listener);
    }

    /**
     * Takes a lent connection back, and keeps it if it can be reused.
     *
     * @param incarnation that of the worker when the connection was lent; a connection that was lent
     *     while its worker moved leads to the old address
     */
    void giveBack(WorkerEndpoint endpoint, int incarnation, HttpConnection connection) {
        boolean reusable = !closed && connection.isReusable() && endpoint.isReady()
                && incarnation == endpoint.incarnation();
        if (reusable) {
            idleConnections.add(endpoint, connection);
        } else {
            connection.close();
        }
    }

    /** Whether an idle connection has turned out to be stale lately. */
    boolean hasRecentStaleConnection() {
        return lastStaleAt != null
                && !clock.now().since(lastStaleAt)
                        .longerThan(settings.connectionIdleTimeout().times(STALE_SHARE));
    }

    /** An idle connection to the worker was stale: the others may have been reset too and are closed. */
    void onStaleConnection(WorkerEndpoint endpoint) {
        lastStaleAt = clock.now();
        idleConnections.closeAll(endpoint);
    }

    private void scheduleCleanup() {
        cleanupTimer = IoTimer.in(thread, CLEANUP_INTERVAL, this::cleanUp);
    }

    private void cleanUp() {
        Moment now = clock.now();
        idleConnections.closeExpired(now);
        lingeringExchanges.releaseExpired(now);
        scheduleCleanup();
    }
}
