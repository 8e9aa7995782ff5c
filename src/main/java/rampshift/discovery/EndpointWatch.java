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
 * Watches the discovery agent's list of workers: the complete list once, then its changes, poll after poll,
 * through outages. It owns one connection, or one dial, and the timers of the poll and the retry. All on
 * the I/O thread.
 */
public final class EndpointWatch {
    private static final Span CONNECT_TIMEOUT = Span.ofMillis(500);
    private static final Span COMPLETE_LIST_TIMEOUT = Span.ofMillis(500);
    private static final long NO_VERSION = -1;

    /** Receives what the watch observes. */
    public interface Listener {
        /** The agent has sent the complete list or what changed in it. */
        void onList(EndpointList list);

        /** The agent is unavailable; called once an outage. */
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
    /** The poll that is open; null where there is none. */
    private LongPoll poll;
    private long version = NO_VERSION;
    private Moment lastReadAt;
    private boolean stopped;

    /**
     * A watch that {@link #start()} begins.
     *
     * @param agent the address of the discovery agent
     * @param drainGrace how soon after a worker began to drain no task may be sent to it any more; ZERO
     *     where no grace is stated
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

    /** Connects where there is no connection and polls, unless it does so already or was stopped. */
    public void start() {
        if (stopped || poll != null || dial != null) {
            return; // a failure that crossed the next poll has started it already
        }
        if (connection == null) {
            dial = dialer.dial(agent, CONNECT_TIMEOUT, new DialListener());
        } else {
            sendPoll();
        }
    }

    /**
     * Continues with another agent at once. The version that the former one counted means nothing there.
     *
     * @return false where it is that agent already, or was stopped
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
     * Reads what the agent has sent and lies unread, if nothing was read lately. A thread with much to do
     * would find an update only after all else that came with it: 40 tasks were sent by a list that was 0.4
     * s old.
     */
    public void readPending() {
        Moment now = clock.now();
        if (connection != null && now.since(lastReadAt).longerThan(timings.readInterval())) {
            lastReadAt = now;
            connection.poll();
        }
    }

    /** Ends the watch for good and gives back all that it owns. */
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
            // In an outage nobody waits for the list any more, and the agent may be back at any time.
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
            // Before the tasks that waited for the list are sent: another update may come meanwhile.
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
            Log.warn("endpoint-watch", "broken", reason, "kept", "the list as it was");
        }
        if (backoff.recordFailure()) {
            listener.onUnavailable();
        }
        backoff.schedule(this::start);
    }

    /** The one place where connection, dial and timers are given back. */
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
