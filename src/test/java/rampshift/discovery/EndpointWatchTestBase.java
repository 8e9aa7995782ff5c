package rampshift.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.AfterEach;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.TestConnection;
import rampshift.connections.Dialer;
import rampshift.counters.Counters;
import rampshift.time.Clock;
import rampshift.time.Span;

/**
 * Base class of the tests of the watch: an I/O thread, a watch on it, and the versions of the lists that it
 * has observed.
 */
abstract class EndpointWatchTestBase {
    final XnioIoThread thread;
    final Counters counters = new Counters();
    final List<Long> observed = Collections.synchronizedList(new ArrayList<>());
    EndpointWatch watch;
    private final XnioWorker worker;

    EndpointWatchTestBase() throws IOException {
        worker = Xnio.getInstance().createWorker(
                OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        thread = worker.getIoThread(0);
    }

    @AfterEach
    void endThread() {
        worker.shutdownNow();
    }

    /** Runs an action on the I/O thread and waits for it. */
    void onThread(Runnable action) throws Exception {
        FutureTask<Void> task = new FutureTask<>(action, null);
        thread.execute(task);
        task.get();
    }

    /** Blocks the calling thread. */
    static void stall(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The action of a test that only checks the observed versions. */
    static void doNothing() {
        // nothing to do
    }

    static InetSocketAddress local(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    /** Starts a watch that runs the action with each list; called on the I/O thread. */
    void startWatch(int port, int drainGraceMillis, Runnable onList) {
        EndpointWatch.Listener listener = new EndpointWatch.Listener() {
            @Override
            public void onList(EndpointList list) {
                observed.add(list.version());
                onList.run();
            }

            @Override
            public void onUnavailable() {
                // checked by the counters
            }
        };
        watch = new EndpointWatch(thread, new Dialer(thread), new Clock(), local(port),
                Span.ofMillis(drainGraceMillis), counters, listener);
        watch.start();
    }

    long failures() {
        return counters.get(Counters.Name.WATCH_FAILURES);
    }

    static void respond(TestConnection connection, String body) throws IOException {
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }
}
