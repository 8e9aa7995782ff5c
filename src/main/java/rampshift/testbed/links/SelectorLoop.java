package rampshift.testbed.links;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A thread that serves non-blocking channels and timers. Once it is started, only {@link #execute} and
 * {@link #close} may be called on other threads.
 */
final class SelectorLoop implements Closeable {
    private static final long MAX_WAIT_MS = 1000;
    private static final long JOIN_TIMEOUT_MS = 2000;
    private static final double NANOS_PER_MS = 1e6;

    private final Selector selector = Selector.open();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final ConcurrentLinkedQueue<Runnable> commands = new ConcurrentLinkedQueue<>();
    private final Thread thread;
    private volatile boolean closed;
    private long timerCount;

    private record Timer(double dueMs, long sequence, Runnable action) implements Comparable<Timer> {

        private static final Comparator<Timer> ORDER =
                Comparator.comparingDouble(Timer::dueMs).thenComparingLong(Timer::sequence);

        @Override
        public int compareTo(Timer other) {
            return ORDER.compare(this, other);
        }
    }

    SelectorLoop(String threadName) throws IOException {
        thread = new Thread(this::run, threadName);
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /** Returns the time in milliseconds since an arbitrary origin. */
    static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /**
     * Sets the operation of a channel that the loop waits for, and the handler that runs when the channel is
     * ready for it.
     */
    void register(SelectableChannel channel, int operation, Runnable handler) throws ClosedChannelException {
        channel.register(selector, operation, handler);
    }

    /** Returns the registration of a channel; null if it has none. */
    SelectionKey registration(SelectableChannel channel) {
        return channel.keyFor(selector);
    }

    /** Runs an action on the thread of the loop, asynchronously. */
    void execute(Runnable action) {
        commands.add(action);
        selector.wakeup();
    }

    /** Runs an action after a delay; synchronously if the delay is not positive. */
    void runAfter(double delayMs, Runnable action) {
        if (delayMs <= 0) {
            action.run();
        } else {
            timers.add(new Timer(nowMs() + delayMs, ++timerCount, action));
        }
    }

    private void run() {
        try {
            while (!closed) {
                runCommands();
                runDueTimers();
                selector.select(SelectorLoop::handle, waitMs());
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void runCommands() {
        for (Runnable command = commands.poll(); command != null; command = commands.poll()) {
            command.run();
        }
    }

    private void runDueTimers() {
        while (!timers.isEmpty() && timers.peek().dueMs <= nowMs()) {
            timers.poll().action.run();
        }
    }

    private long waitMs() {
        return timers.isEmpty() ? MAX_WAIT_MS : Math.max(1, Math.round(timers.peek().dueMs - nowMs()));
    }

    private static void handle(SelectionKey key) {
        if (key.isValid()) {
            ((Runnable) key.attachment()).run();
        }
    }

    /** Stops the thread and closes all registered channels. */
    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join(JOIN_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
