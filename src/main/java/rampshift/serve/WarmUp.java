package rampshift.serve;

import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.xnio.XnioIoThread;
import rampshift.connections.Dialer;
import rampshift.connections.ExchangeListener;
import rampshift.connections.HttpConnection;
import rampshift.connections.ResponseHead;
import rampshift.counters.Counters;
import rampshift.discovery.EndpointListParser;
import rampshift.log.Log;
import rampshift.settings.Configuration;
import rampshift.time.Clock;
import rampshift.time.IoTimer;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Warms up the JVM before the dispatcher is ready: sends tasks through a second dispatcher, over pipes within
 * the process. Without it, the first client tasks take up to 185 ms until their first attempt on a quarter of
 * a core, since classes are not loaded and code is not compiled yet. Owns the second dispatcher, one
 * connection and one timer.
 */
final class WarmUp {
    /** Number of tasks until the dispatcher is ready; more would delay clients after a restart. */
    private static final int TASKS_UNTIL_READY = 10;
    /** Maximum number of tasks, if no client task arrives earlier. */
    private static final int MAX_TASKS = 60;
    private static final Span MAX_DURATION = Span.ofMillis(1500);
    private static final int STATUS_OK = 200;

    private final XnioIoThread thread;
    private final Clock clock;
    private final Dispatcher dispatcher;
    private final List<String> trafficTypes;
    private final BooleanSupplier noClientTasks;
    private final Runnable onReady;
    private HttpConnection client;
    private IoTimer timer;
    private Moment startedAt;
    private int tasksSent;
    private boolean ready;
    private boolean finished;

    /**
     * Creates a warm-up that {@link #start()} starts.
     *
     * @param noClientTasks returns whether the main dispatcher has not admitted a task yet
     * @param onReady run once, when enough tasks were sent or the warm-up has ended earlier
     */
    WarmUp(XnioIoThread thread, ByteBufferPool buffers, Clock clock, BooleanSupplier noClientTasks,
            Runnable onReady)
            throws IOException {
        this.thread = thread;
        this.clock = clock;
        this.noClientTasks = noClientTasks;
        this.onReady = onReady;
        Configuration configuration = WarmUpMessages.configuration();
        Dialer toWorkers =
                new Dialer(thread, new InProcessOpener(thread, WarmUpWorker.acceptor(this::response)));
        dispatcher = new Dispatcher(thread, buffers, toWorkers, clock, new Counters(), configuration, 0);
        trafficTypes = configuration.settings().hostSettings().types();
        dispatcher.policyHost.onEndpointList(EndpointListParser.parse(configuration.knownEndpoints(),
                configuration.knownEndpoints().length), false);
    }

    private byte[] response() {
        return WarmUpMessages.response(tasksSent);
    }

    /** Connects and sends the first task. */
    void start() {
        startedAt = clock.now();
        timer = IoTimer.schedule(thread, MAX_DURATION, () -> finish("time"));
        Dialer toDispatcher = new Dialer(thread,
                new InProcessOpener(thread, dispatcher.clientListener::serve));
        toDispatcher.dial(null, MAX_DURATION, new Dialer.DialListener() {
            @Override
            public void onConnected(HttpConnection connection) {
                client = connection;
                next();
            }

            @Override
            public void onUnreachable(String reason) {
                finish(reason);
            }
        });
    }

    private void next() {
        if (finished) {
            return;
        }
        if (tasksSent == TASKS_UNTIL_READY) {
            becomeReady();
        }
        if (tasksSent == MAX_TASKS) {
            finish("all tasks sent");
        } else if (tasksSent >= TASKS_UNTIL_READY && !noClientTasks.getAsBoolean()) {
            finish("first client task admitted");
        } else {
            sendTask();
        }
    }

    private void sendTask() {
        tasksSent++;
        String trafficType = trafficTypes.get(tasksSent % trafficTypes.size());
        ByteBuffer head = ByteBuffer.wrap(WarmUpMessages.requestHead(tasksSent, trafficType));
        client.exchange(new Response(), head, ByteBuffer.wrap(WarmUpMessages.requestBody()));
    }

    private final class Response implements ExchangeListener {
        @Override
        public void onHead(ResponseHead head) {
            if (head.status() != STATUS_OK) {
                finish("status " + head.status());
            }
        }

        @Override
        public void onComplete() {
            thread.execute(WarmUp.this::next);
        }

        @Override
        public void onFailure(String reason) {
            finish(reason);
        }
    }

    private void finish(String reason) {
        if (finished) {
            return;
        }
        finished = true;
        timer.cancel();
        if (client != null) {
            client.close();
        }
        dispatcher.close();
        becomeReady();
        long millis = Math.round(clock.now().since(startedAt).millis());
        Log.info("warmed-up", "tasks", tasksSent, "ms", millis, "end", reason);
    }

    private void becomeReady() {
        if (!ready) {
            ready = true;
            onReady.run();
        }
    }
}
