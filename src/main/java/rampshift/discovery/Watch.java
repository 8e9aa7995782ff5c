package rampshift.discovery;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import rampshift.connections.Connection;
import rampshift.connections.Dialer;
import rampshift.connections.Head;
import rampshift.connections.Heard;
import rampshift.counters.Counters;
import rampshift.log.Log;
import rampshift.settings.Malformed;
import rampshift.time.Span;

/**
 * Keeps watching discovery: the whole list once, then changes, call upon call, through outages. It owns one
 * connection, or one dial, and one timer.
 */
public final class Watch {
    /** How long a call may wait for changes. With 20 s a watch that fell silent was noticed after 21. */
    private static final long WAIT_MS = 1000;
    private static final Span LATE = Span.ofMillis(500);     // beyond that wait: discovery is silent
    private static final Span AGAIN = Span.ofMillis(100);    // after a break; 200 ms keep the watch going
    private static final int LONGEST = 1 << 20;
    /** Tries in a row that failed before it is told: one may have lost its answer to a busy start. */
    private static final int FAILURES = 2;

    private final XnioIoThread thread;
    private final Dialer dialer;
    private InetSocketAddress address;
    private final Counters counters;
    private final Consumer<Listing> told;
    private final Runnable failed;
    private Connection connection;
    private Dialer.Dial dial;
    private XnioExecutor.Key timer;
    private long version = -1;
    private boolean calling;
    private boolean broken;
    private int failures;
    private boolean stopped;

    /** Lists go to {@code told}; that none is to be had, once an outage, to {@code failed}. */
    public Watch(XnioIoThread thread, Dialer dialer, InetSocketAddress address, Counters counters,
            Consumer<Listing> told, Runnable failed) {
        this.thread = thread;
        this.dialer = dialer;
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
            dial = dialer.dial(address, LATE, new Dialer.Dialed() {
                @Override
                public void connected(Connection made) {
                    dial = null;
                    connection = made;
                    connection.onEnd(() -> retry("the idle connection ended"));
                    call();
                }

                @Override
                public void unreachable(String why) {
                    dial = null;
                    retry(why);
                }
            });
        } else {
            call();
        }
    }

    /**
     * Goes on at another address, at once; false where it is there already. What the old one counted as its version
     * says nothing there.
     */
    public boolean move(InetSocketAddress to) {
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

    public void stop() {
        stopped = true;
        drop();
    }

    private void call() {
        String path = version < 0 ? "/v1/endpoints" : "/v1/endpoints?index=" + version + "&wait=" + WAIT_MS;
        String text = "GET " + path + " HTTP/1.1\r\nHost: " + address.getHostString() + ":" + address.getPort()
                + "\r\n\r\n";
        Span most = version < 0 ? LATE : LATE.plus(Span.ofMillis(WAIT_MS));
        calling = true;
        timer = thread.executeAfter(() -> retry("no answer"), most.micros(), TimeUnit.MICROSECONDS);
        connection.exchange(new Answer(), ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    private final class Answer implements Heard {
        private int status;
        private byte[] bytes = new byte[4096];
        private int length;

        @Override
        public void head(Head head) {
            status = head.status();
        }

        @Override
        public void body(byte[] piece, int from, int count) {
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
        public void ended() {
            if (status != 200) {
                retry("status " + status);
                return;
            }
            Listing listing;
            try {
                listing = Listing.read(bytes, length);
            } catch (Malformed e) {
                version = -1;
                retry(e.getMessage());
                return;
            }
            timer.remove();
            calling = false;
            if (broken || version < 0) {
                Log.info("list", "rev", listing.version(), "workers", listing.targets().size());
            }
            broken = false;
            failures = 0;
            version = listing.version();
            counters.add(listing.whole() ? Counters.Name.LISTS_WHOLE : Counters.Name.LISTS_CHANGES);
            told.accept(listing);
            if (connection != null && !connection.usable()) {
                connection = null;
            }
            thread.execute(Watch.this::start);
        }

        @Override
        public void broken(String why) {
            retry(why);
        }
    }

    private void retry(String why) {
        drop();
        if (stopped) {
            return;
        }
        counters.add(Counters.Name.WATCH_BROKEN);
        if (!broken) {
            Log.warn("list-watch", "broken", why, "kept", "the list as it was");
        }
        broken = true;
        if (++failures == FAILURES) {
            failed.run();
        }
        timer = thread.executeAfter(this::start, AGAIN.micros(), TimeUnit.MICROSECONDS);
    }

    /** The one place where connection, dial and timer are given back. */
    private void drop() {
        calling = false;
        if (timer != null) {
            timer.remove();
        }
        if (dial != null) {
            dial.callOff();
            dial = null;
        }
        if (connection != null) {
            connection.close();
            connection = null;
        }
    }
}
