package rampshift.discovery;

import java.net.InetSocketAddress;
import org.xnio.XnioIoThread;
import rampshift.connections.Dialer;
import rampshift.connections.HttpConnection;
import rampshift.counters.Counters;
import rampshift.log.Log;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Watches the discovery agent's list of workers by long polls: requests the complete list once and then its
 * changes, and retries during outages. Owns one connection or one dial, and the timers of the poll and the
 * retry. Used on the I/O thread only.
 */
public final class EndpointWatch {
    private static final Span CONNECT_TIMEOUT = Span.ofMillis(500);
    private static final Span COMPLETE_LIST_TIMEOUT = Span.ofMillis(500);
    private static final long NO_VERSION = -1;

    /** Receives the events of a watch. */
    public interface Listener {
        /** Called when the agent has sent the complete list or changes of it. */
        void onList(EndpointList list);

        /** Called once per outage, when it begins. */
        void onUnavailable();
    }

    private final XnioIoThread thread;
    private final Dialer dialer;
    private final Clock clock;
    private final Counters counters;
    private final Listener listener;
    private final WatchTimings timings;
    private final WatchBackoff backoff;
    private InetSocketAddress agent;
    private HttpConnection connection;
    private Dialer.Dial dial;
    /** The poll in progress; null if there is none. */
    private LongPoll poll;
    private long version = NO_VERSION;
    private Moment lastReadAt;
    private boolean stopped;

    /**
     * Creates a watch that {@link #start()} starts.
     *
     * @param agent the address of the discovery agent
     * @param drainGrace the time after a worker starts draining within which the dispatcher must stop sending
     *     tasks to it; ZERO if none is configured
     */
    public EndpointWatch(XnioIoThread thread, Dialer dialer, Clock clock, InetSocketAddress agent,
            Span drainGrace,
            Counters counters, Listener listener) {
        this.thread = thread;
        this.dialer = dialer;
        this.clock = clock;
        this.agent = agent;
        this.counters = counters;
        this.listener = listener;
        timings = WatchTimings.forDrainGrace(drainGrace);
        backoff = new WatchBackoff(thread, timings.retryDelay());
        lastReadAt = clock.now();
    }

    /**
     * Connects if there is no connection, and polls. Does nothing if a poll or a dial is in progress or the
     * watch was stopped.
     */
    public void start() {
        if (stopped || poll != null || dial != null) {
            return; // an earlier failure has already started the next poll
        }
        if (connection == null) {
            dial = dialer.dial(agent, CONNECT_TIMEOUT, new DialListener());
        } else {
            sendPoll();
        }
    }

    /**
     * Switches to another agent at once, and requests its complete list, since versions of different agents
     * are not comparable.
     *
     * @return false if that agent is already in use, or the watch was stopped
     */
    public boolean switchTo(InetSocketAddress newAgent) {
        if (stopped || newAgent.equals(agent)) {
            return false;
        }
        agent = newAgent;
        version = NO_VERSION;
        backoff.resetCount();
        release();
        start();
        return true;
    }

    /**
     * Reads pending input from the agent, if nothing was read lately. A busy thread would otherwise read an
     * update only after all other input that arrived with it, and send tasks by an outdated list (40 tasks by
     * a list that was 0.4 s old).
     */
    public void readPending() {
        Moment now = clock.now();
        if (connection != null && now.since(lastReadAt).longerThan(timings.readInterval())) {
            lastReadAt = now;
            connection.poll();
        }
    }

    /** Stops the watch permanently and releases its resources. */
    public void stop() {
        stopped = true;
        release();
    }

    private final class DialListener implements Dialer.DialListener {
        @Override
        public void onConnected(HttpConnection opened) {
            dial = null;
            connection = opened;
            connection.onIdleClose(() -> retry("the idle connection was closed"));
            sendPoll();
        }

        @Override
        public void onUnreachable(String reason) {
            dial = null;
            retry(reason);
        }
    }

    private void sendPoll() {
        byte[] request;
        Span timeout;
        if (version == NO_VERSION) {
            request = LongPoll.completeListRequest(agent);
            // In an outage no task waits for the list, and with a shorter timeout an agent that has returned
            // is polled sooner.
            timeout = backoff.isOutage() ? timings.responseSlack() : COMPLETE_LIST_TIMEOUT;
        } else {
            request = LongPoll.changesRequest(agent, version, timings.pollWait());
            timeout = timings.pollWait().plus(timings.responseSlack());
        }
        poll = new LongPoll(thread, clock, connection, timings.responseSlack(), new PollListener());
        poll.start(request, timeout);
    }

    private final class PollListener implements LongPoll.Listener {
        @Override
        public void onList(EndpointList list) {
            poll = null;
            if (backoff.isFailing() || version == NO_VERSION) {
                Log.info("endpoint-list", "rev", list.version(), "workers", list.endpoints().size());
            }
            backoff.recordSuccess();
            version = list.version();
            counters.add(list.complete() ? Counters.Name.COMPLETE_LISTS : Counters.Name.LIST_CHANGES);
            if (connection != null && !connection.isReusable()) {
                connection = null;
            }
            // Polls again before the listener sends the tasks that wait for the list: another update may
            // arrive meanwhile.
            start();
            listener.onList(list);
        }

        @Override
        public void onInvalidList(String reason) {
            version = NO_VERSION;
            retry(reason);
        }

        @Override
        public void onFailure(String reason) {
            retry(reason);
        }
    }

    private void retry(String reason) {
        release();
        if (stopped) {
            return;
        }
        counters.add(Counters.Name.WATCH_FAILURES);
        if (!backoff.isFailing()) {
            Log.warn("endpoint-watch", "broken", reason, "kept", "the current endpoint list");
        }
        if (backoff.recordFailure()) {
            listener.onUnavailable();
        }
        backoff.schedule(this::start);
    }

    /** Releases the connection, the dial and the timers. */
    private void release() {
        backoff.cancel();
        if (poll != null) {
            poll.cancel();
            poll = null;
        }
        if (dial != null) {
            dial.cancel();
            dial = null;
        }
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }
}
