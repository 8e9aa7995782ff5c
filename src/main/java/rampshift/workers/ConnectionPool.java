package rampshift.workers;

import java.util.HashMap;
import java.util.Map;
import org.xnio.XnioIoThread;
import rampshift.connections.Dialer;
import rampshift.connections.HttpConnection;
import rampshift.connections.MemoryBudget;
import rampshift.counters.Counters;
import rampshift.settings.HostSettings;
import rampshift.time.Clock;
import rampshift.time.IoTimer;
import rampshift.time.Moment;
import rampshift.time.ReadBarrier;
import rampshift.time.Span;

/**
 * The pool of connections to workers. It owns the idle ones, which attempts and health checks borrow. Must be
 * used on the I/O thread only.
 */
public final class ConnectionPool {
    /** The idle time after which a connection is not reused, as a share of the idle timeout of workers. */
    private static final double MAX_IDLE_SHARE = 0.5;
    /**
     * The time for which non-idempotent tasks avoid idle connections after a stale one was detected, as a
     * share of the idle timeout of workers.
     */
    private static final double STALE_AVOIDANCE_SHARE = 0.5;
    private static final Span CLEANUP_INTERVAL = Span.ofMillis(500);

    private final XnioIoThread thread;
    private final HostSettings settings;
    private final Counters counters;
    private final Clock clock;
    private final Dialer dialer;
    private final int maxConnections;
    private final MemoryBudget responseMemory;
    private final LoadReportReader loadReportReader;
    private final Map<Long, WorkerEndpoint> endpoints = new HashMap<>();
    private final IdleConnectionCache idleConnections;
    private final LingeringExchanges lingeringExchanges;
    private Moment lastStaleAt;
    private boolean closed;
    private IoTimer cleanupTimer;
    private Runnable firstByteHook = () -> {};

    /**
     * Creates a pool without workers.
     *
     * @param maxConnections the maximum number of connections to workers, including idle ones and dials
     * @param responseMemory the memory for incomplete responses
     */
    public ConnectionPool(XnioIoThread thread, Dialer dialer, Clock clock, HostSettings settings,
            Counters counters, int maxConnections, MemoryBudget responseMemory) {
        this.thread = thread;
        this.dialer = dialer;
        this.clock = clock;
        this.settings = settings;
        this.counters = counters;
        this.maxConnections = maxConnections;
        this.responseMemory = responseMemory;
        loadReportReader = new LoadReportReader(settings.freeSlotsField(), settings.freeMemoryField());
        idleConnections = new IdleConnectionCache(endpoints.values(), clock, counters,
                settings.connectionIdleTimeout().times(MAX_IDLE_SHARE));
        lingeringExchanges = new LingeringExchanges(clock);
        scheduleCleanup();
    }

    /**
     * Sets a hook that runs before the first byte of each attempt is written. The hook reads the pending
     * input from the discovery service, so that no attempt is sent by an outdated endpoint list.
     */
    public void setFirstByteHook(Runnable hook) {
        firstByteHook = hook;
    }

    /**
     * Applies an entry of the endpoint list. If the placement of a worker has changed, tasks were assigned to
     * it by the old one: attempts that have not been written yet end as not sent.
     */
    public void updateWorker(WorkerListing listing) {
        WorkerEndpoint endpoint = endpoints.computeIfAbsent(listing.number(),
                number -> new WorkerEndpoint(number, listing.uid()));
        if (endpoint.update(listing)) {
            idleConnections.closeAll(endpoint);
        }
    }

    /**
     * Begins a complete endpoint list. All workers become not ready, until the list contains them as ready.
     */
    public void beginCompleteList() {
        endpoints.values().forEach(WorkerEndpoint::markNotReady);
    }

    /** Ends a complete endpoint list: closes the idle connections to workers that are not ready. */
    public void endCompleteList() {
        for (WorkerEndpoint endpoint : endpoints.values()) {
            if (!endpoint.isReady()) {
                idleConnections.closeAll(endpoint);
            }
        }
    }

    /** Forgets a worker that is not ready. Exchanges with it that are in progress go on. */
    public void forgetWorker(long workerNumber) {
        idleConnections.closeAll(endpoints.remove(workerNumber));
    }

    /** Returns whether the worker accepts new tasks according to the latest endpoint list. */
    public boolean isReady(long workerNumber) {
        WorkerEndpoint endpoint = endpoints.get(workerNumber);
        return endpoint != null && endpoint.isReady();
    }

    /**
     * Sends a task to a worker that has been listed. The listener may be called before this method returns.
     *
     * @return the attempt, which can be canceled
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
     * Closes the idle connections and stops the timer. Borrowed connections are closed when they are
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

    /** Returns the budget for the incomplete responses of all exchanges. */
    MemoryBudget responseMemory() {
        return responseMemory;
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

    /** Borrows an idle connection, see {@link IdleConnectionCache#take}; null if there is none. */
    HttpConnection takeIdle(WorkerEndpoint endpoint, Span minIdleTime) {
        return idleConnections.take(endpoint, minIdleTime);
    }

    /**
     * Returns whether one more connection may be opened. At the limit, the connection that has been idle for
     * the longest time is closed first.
     */
    boolean ensureCapacity() {
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
     * Accepts the return of a borrowed connection, and keeps it if it can be reused.
     *
     * @param incarnation the incarnation of the worker when the connection was borrowed; if the worker has
     *     moved since, the connection leads to its old address
     */
    void returnConnection(WorkerEndpoint endpoint, int incarnation, HttpConnection connection) {
        boolean reusable = !closed && connection.isReusable() && endpoint.isReady()
                && incarnation == endpoint.incarnation();
        if (reusable) {
            idleConnections.add(endpoint, connection);
        } else {
            connection.close();
        }
    }

    /** Returns whether an idle connection was recently found to be stale. */
    boolean hasRecentStaleConnection() {
        return lastStaleAt != null
                && !clock.now().since(lastStaleAt)
                        .longerThan(settings.connectionIdleTimeout().times(STALE_AVOIDANCE_SHARE));
    }

    /**
     * Records that an idle connection to the worker was stale, and closes the others: they may have been
     * reset too.
     */
    void onStaleConnection(WorkerEndpoint endpoint) {
        lastStaleAt = clock.now();
        idleConnections.closeAll(endpoint);
    }

    private void scheduleCleanup() {
        cleanupTimer = IoTimer.schedule(thread, CLEANUP_INTERVAL, this::cleanUp);
    }

    private void cleanUp() {
        Moment now = clock.now();
        idleConnections.closeExpired(now);
        lingeringExchanges.releaseExpired(now);
        scheduleCleanup();
    }
}
