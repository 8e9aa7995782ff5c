package rampshift.testbed.discovery;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import rampshift.eventlog.EventClock;
import rampshift.testbed.wire.FaultyConnection;
import rampshift.testbed.wire.Message;
import rampshift.testbed.wire.MessageReader;

/** A connection on which a dispatcher polls its discovery agent. It is used only on the I/O thread. */
final class WatchConnection implements FaultyConnection.Listener {
    private static final Pattern LONG_POLL =
            Pattern.compile("/v1/endpoints\\?index=(\\d{1,18})&wait=(\\d{1,9})");
    private static final long MAX_WAIT_MS = 60_000;
    private static final long NO_VERSION = -1;

    private final DiscoveryAgent agent;
    private final XnioIoThread thread;
    private final FaultyConnection connection;
    private final MessageReader reader = new MessageReader(this::onRequest);
    private boolean awaitsResponse;
    /** Whether the next response is the full list, regardless of the version that the dispatcher has. */
    private boolean sendsFullList;
    private long knownVersion;
    private XnioExecutor.Key waitTimer;

    /** Creates a handler of an accepted connection; {@link #start} starts to read. */
    WatchConnection(DiscoveryAgent agent, StreamConnection peer, XnioIoThread thread, boolean sendsFullList) {
        this.agent = agent;
        this.thread = thread;
        this.sendsFullList = sendsFullList;
        connection = new FaultyConnection(peer, thread, this);
    }

    void start() {
        connection.start();
    }

    @Override
    public void onBytes(byte[] bytes, int count) {
        try {
            reader.read(bytes, 0, count, EventClock.now());
        } catch (IOException e) {
            close();
        }
    }

    private void onRequest(Message request) {
        Matcher longPoll = LONG_POLL.matcher(request.target());
        awaitsResponse = true;
        if (longPoll.matches()) {
            knownVersion = Long.parseLong(longPoll.group(1));
            long waitMs = Math.min(MAX_WAIT_MS, Long.parseLong(longPoll.group(2)));
            waitTimer = thread.executeAfter(() -> answer(true), waitMs, TimeUnit.MILLISECONDS);
        } else {
            knownVersion = NO_VERSION;
        }
        answerIfChanged();
    }

    /** Responds to a pending long poll if the list has changed. */
    void answerIfChanged() {
        answer(false);
    }

    private void answer(boolean evenIfUnchanged) {
        if (!awaitsResponse || agent.isSilent()) {
            return;
        }
        EndpointUpdate update = agent.updateSince(sendsFullList ? NO_VERSION : knownVersion);
        sendsFullList = false;
        boolean unchanged = !update.complete() && update.entries().isEmpty();
        if (unchanged && !evenIfUnchanged) {
            return;
        }
        awaitsResponse = false;
        cancelWait();
        String body = agent.toJson(update);
        connection.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body);
        agent.recordSent(update);
    }

    @Override
    public void onClosed(boolean reset) {
        release();
    }

    void close() {
        connection.close();
        release();
    }

    private void release() {
        agent.remove(this);
        awaitsResponse = false;
        cancelWait();
    }

    private void cancelWait() {
        if (waitTimer != null) {
            waitTimer.remove();
        }
    }
}
