package rampshift.discovery;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;
import org.xnio.XnioIoThread;
import rampshift.connections.Dialer;
import rampshift.connections.ExchangeListener;
import rampshift.connections.HttpConnection;
import rampshift.connections.ResponseHead;
import rampshift.counters.Counters;
import rampshift.log.Log;
import rampshift.settings.InvalidInputException;
import rampshift.time.Clock;
import rampshift.time.IoTimer;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Keeps watching discovery: the whole list once, then changes, call upon call, through outages. It owns one
 * connection, or one dial, and one timer.
 */
public final class EndpointWatch {
    /** How long a call may wait for changes. With 20 s a watch that fell silent was noticed after 21. */
    private static final Span WAIT = Span.ofMillis(1000);
    // until a connection or a first list has to be there
    private static final Span FIRST = Span.ofMillis(500);
    /**
     * Of the grace on drains: how long a call may wait, how late its answer may be, and the pause after a
     * break. An agent
     * that was silent while a call was open and is back with news is heard within nine tenths of the grace.
     */
    private static final double WAIT_SHARE = 0.4;
    private static final double LATE_SHARE = 0.3;
    private static final double AGAIN_SHARE = 0.2;
    private static final double LOOK_SHARE = 0.1;            // of the grace, that what came may lie unread
    private static final Span LEAST = Span.ofMillis(10);
    private static final Span AGAIN = Span.ofMillis(100);    // after a break; 200 ms keep the watch going
    /**
     * Of an answer that comes in pieces, beyond the time until its first: less than the 2 s after which its
     * news counts.
     */
    private static final Span PIECES = Span.ofMillis(1500);
    /**
     * Bytes: 1,024 workers, an entry of a name of 200 and all else that can be long, indented, being under 2
     * KB.
     */
    private static final int LONGEST = 1024 * 2048;
    /** Tries in a row that failed before it is told: one may have lost its answer to a busy start. */
    private static final int FAILURES = 2;

    private final XnioIoThread thread;
    private final Dialer dialer;
    private final Clock clock;
    private final Span wait;
    private final Span late;
    private final Span again;
    private final Span lookEvery;
    private InetSocketAddress address;
    private final Counters counters;
    private final Consumer<EndpointList> told;
    private final Runnable failed;
    private HttpConnection connection;
    private Dialer.Dial dial;
    private IoTimer timer;
    private Answer answer;
    private long version = -1;
    private boolean calling;
    private boolean broken;
    private int failures;
    private Moment lookedAt;
    private boolean stopped;

    /**
     * Lists go to {@code told}; that none is to be had, once an outage, to {@code failed}. Grace: on drains;
     * ZERO where
     * none is stated.
     */
    public EndpointWatch(XnioIoThread thread, Dialer dialer, Clock clock, InetSocketAddress address,
            Span grace,
            Counters counters, Consumer<EndpointList> told, Runnable failed) {
        this.thread = thread;
        this.dialer = dialer;
        this.clock = clock;
        boolean stated = grace.micros() > 0;
        wait = stated ? grace.times(WAIT_SHARE).orLonger(LEAST).orShorter(WAIT) : WAIT;
        late = stated ? grace.times(LATE_SHARE).orLonger(LEAST).orShorter(FIRST) : FIRST;
        again = stated ? grace.times(AGAIN_SHARE).orLonger(LEAST).orShorter(AGAIN) : AGAIN;
        lookEvery = grace.times(LOOK_SHARE);
        lookedAt = clock.now();
        this.address = address;
        this.counters = counters;
        this.told = told;
        this.failed = failed;
    }

    public void start() {
        if (stopped || calling || dial != null) {
            return;     // a break that crossed the next call has begun it already
        }
        if (connection == null) {
            dial = dialer.dial(address, FIRST, new Dialer.DialListener() {
                @Override
                public void onConnected(HttpConnection made) {
                    dial = null;
                    connection = made;
                    connection.onIdleClose(() -> retry("the idle connection ended"));
                    call();
                }

                @Override
                public void onUnreachable(String why) {
                    dial = null;
                    retry(why);
                }
            });
        } else {
            call();
        }
    }

    /**
     * Goes on at another address, at once; false where it is there already. What the old one counted as its
     * version
     * says nothing there.
     */
    public boolean switchTo(InetSocketAddress to) {
        if (stopped || to.equals(address)) {
            return false;
        }
        address = to;
        version = -1;
        failures = 0;
        drop();
        start();
        return true;
    }

    /**
     * Has what lies unread read, if nobody looked lately: a thread with much to do finds news that binds only
     * after all
     * else that came with it, and 40 tasks were sent meanwhile by a list that was 0.4 s old.
     */
    public void readPending() {
        Moment now = clock.now();
        if (connection != null && now.since(lookedAt).longerThan(lookEvery)) {
            lookedAt = now;
            connection.poll();
        }
    }

    public void stop() {
        stopped = true;
        drop();
    }

    private void call() {
        String path = version < 0 ? "/v1/endpoints"
                : "/v1/endpoints?index=" + version + "&wait="
                        + Math.round(wait.millis());
        String text =
                "GET " + path + " HTTP/1.1\r\nHost: " + address.getHostString() + ":" + address.getPort()
                        + "\r\n\r\n";
        // Once it has been told that no list is to be had the old one is gone by, and the agent may be back
        // any time.
        Span most = version >= 0 ? wait.plus(late) : failures < FAILURES ? FIRST : late;
        calling = true;
        Moment end = clock.now().plus(most).plus(PIECES);
        timer = IoTimer.in(thread, most, () -> overdue(end));
        answer = new Answer();
        connection.exchange(answer, ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    /**
     * The answer may have come and lie unread, where this thread is what is late; or be coming in pieces. A
     * long list on a
     * slow way was dropped and asked for anew, for ever.
     */
    private void overdue(Moment end) {
        Answer mine = answer;
        connection.poll();
        if (!calling || answer != mine) {
            return;
        }
        Span left = late.minus(connection.timeSinceLastRead()).orShorter(end.since(clock.now()));
        if (left.micros() > 0) {
            timer = IoTimer.notBefore(thread, left, () -> overdue(end));
        } else {
            retry("no answer");
        }
    }

    private final class Answer implements ExchangeListener {
        private int status;
        private byte[] bytes = new byte[4096];
        private int length;

        @Override
        public void onHead(ResponseHead head) {
            status = head.status();
        }

        @Override
        public void onBody(byte[] piece, int from, int count) {
            if (length + count > LONGEST) {
                retry("a list over " + LONGEST + " bytes");
                return;
            }
            if (length + count > bytes.length) {
                bytes = Arrays.copyOf(bytes, Math.max(length + count, bytes.length * 2));
            }
            System.arraycopy(piece, from, bytes, length, count);
            length += count;
        }

        @Override
        public void onComplete() {
            if (status != 200) {
                retry("status " + status);
                return;
            }
            EndpointList listing;
            try {
                listing = EndpointList.read(bytes, length);
            } catch (InvalidInputException e) {
                version = -1;
                retry(e.getMessage());
                return;
            }
            timer.cancel();
            calling = false;
            if (broken || version < 0) {
                Log.info("list", "rev", listing.version(), "workers", listing.endpoints().size());
            }
            broken = false;
            failures = 0;
            version = listing.version();
            counters.add(listing.complete() ? Counters.Name.COMPLETE_LISTS : Counters.Name.LIST_CHANGES);
            if (connection != null && !connection.isReusable()) {
                connection = null;
            }
            start();    // before the tasks that waited for the list go out: more news may come meanwhile
            told.accept(listing);
        }

        @Override
        public void onFailure(String why) {
            retry(why);
        }
    }

    private void retry(String why) {
        drop();
        if (stopped) {
            return;
        }
        counters.add(Counters.Name.WATCH_FAILURES);
        if (!broken) {
            Log.warn("list-watch", "broken", why, "kept", "the list as it was");
        }
        broken = true;
        if (++failures == FAILURES) {
            failed.run();
        }
        timer = IoTimer.in(thread, again, this::start);
    }

    /** The one place where connection, dial and timer are given back. */
    private void drop() {
        calling = false;
        if (timer != null) {
            timer.cancel();
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
