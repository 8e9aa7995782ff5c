package rampshift.serve;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.clients.StatusPage;
import rampshift.connections.Dialer;
import rampshift.counters.Counters;
import rampshift.discovery.EndpointList;
import rampshift.discovery.EndpointWatch;
import rampshift.log.Log;
import rampshift.settings.Configuration;
import rampshift.settings.InvalidInputException;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/** A dispatcher on sockets, from its start to its end. What happens between happens on one I/O thread. */
public final class DispatcherServer {
    private static final int BUFFER = 16 * 1024;
    private static final int BUFFERS_KEPT = 256;
    private static final Span STOP_LEAST = Span.ofMillis(600);  // after the stop began new clients still come
    // and the longest expiry, after SIGTERM: SIGKILL
    private static final Span KILL_AFTER = Span.ofMillis(700);
    private static final Span LONGEST_STOP = Span.ofMillis(3000);   // counted of that expiry
    // before that, tasks must promise to end sooner
    private static final Span SHORT = Span.ofMillis(1200);
    private static final Span LAST_CALL = Span.ofMillis(350);   // before that, no more is taken
    private static final Span GIVE_UP = Span.ofMillis(250);     // before that, what is in hand is given up
    private static final Span NOBODY_NEW = Span.ofMillis(250);  // for this long: then it may end
    // so long after an end between calls the call may come anew
    private static final Span CROSSED = Span.ofMillis(150);
    // before that, it ends once nothing is in hand
    private static final Span HANG_ON = Span.ofMillis(120);
    private static final Span LOOK = Span.ofMillis(20);

    private final Configuration configuration;
    private final ServerExtension beside;        // null where no operator's file asks for one
    private final Clock clock = new Clock();
    private final Counters counters = new Counters();
    private final CountDownLatch ready = new CountDownLatch(1);
    private final CountDownLatch ended = new CountDownLatch(1);
    private final XnioWorker worker;
    final XnioIoThread thread;
    Dispatcher dispatcher;
    private EndpointWatch watch;
    private boolean haveList;
    private boolean rehearsed;
    private boolean stopping;

    /** Starts it, or throws with one line that says why not. */
    public DispatcherServer(Configuration configuration) throws IOException {
        this(configuration, null);
    }

    /** The same with what an operator's file asks for; null for nothing. */
    public DispatcherServer(Configuration configuration, ServerExtension beside) throws IOException {
        this.configuration = configuration;
        this.beside = beside;
        // XNIO would put beans into the platform's JMX server, which takes 0.15 s of CPU to start. With no
        // such server it goes on without; nobody here reads them, the counters are for that.
        System.setProperty("javax.management.builder.initial", "none");
        worker = Xnio.getInstance(DispatcherServer.class.getClassLoader()).createWorker(OptionMap.builder()
                .set(Options.WORKER_NAME, "io").set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1).set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.THREAD_DAEMON, true).getMap());
        thread = worker.getIoThread(0);
        FutureTask<Void> start = new FutureTask<>(() -> {
            begin();
            return null;
        });
        thread.execute(start);
        try {
            start.get();
        } catch (ExecutionException e) {
            worker.shutdownNow();
            if (e.getCause() instanceof IOException io) {
                throw io;
            }
            throw e.getCause() instanceof InvalidInputException m ? m
                    : new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            throw new IOException("interrupted");
        }
    }

    /** One that serves nobody: for the archive of the classes that a start loads. */
    public static DispatcherServer forClassArchive() throws IOException {
        return new DispatcherServer(WarmUp.configuration());
    }

    private void begin() throws IOException {
        ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER, BUFFERS_KEPT, 0);
        Dialer dialer = new Dialer(thread);
        dispatcher = new Dispatcher(thread, buffers, dialer, clock, counters, configuration,
                beside == null ? 0 : beside.maxDescriptors(configuration));
        if (configuration.knownEndpoints() != null) {
            EndpointList known =
                    EndpointList.read(configuration.knownEndpoints(), configuration.knownEndpoints().length);
            dispatcher.policyHost.onEndpointList(known, true);
            haveList = !known.endpoints().isEmpty();
            dispatcher.policyHost.onEndpointListAwaited(true);
        }
        dispatcher.clientListener.addPage("/ready", this::ready);
        dispatcher.clientListener.addPage("/counters", () -> new StatusPage(200, counters.text()));
        dispatcher.clientListener.listen(worker, configuration.listen());
        watch = new EndpointWatch(thread, dialer, clock, configuration.discovery(), dispatcher.drainGrace,
                counters,
                list -> {
                    haveList = true;
                    dispatcher.policyHost.onEndpointList(beside == null ? list : beside.adjust(list), false);
                }, () -> dispatcher.policyHost.onEndpointListFailed());
        dispatcher.beforeFirstByte(beforeFirstByte());
        if (beside != null) {
            beside.start(worker, thread, clock, configuration,
                    changes -> dispatcher.policyHost.onEndpointList(changes, false));
        }
        watch.start();
        Log.info("started", "name", configuration.name(), "listen", configuration.listen());
        new WarmUp(thread, buffers, clock, () -> counters.get(Counters.Name.TASKS_ADMITTED) == 0, () -> {
            rehearsed = true;
            if (beside != null) {
                beside.onReady();
            }
            Log.info("ready", "list", haveList);
            ready.countDown();
        }).start();
    }

    private StatusPage ready() {
        if (stopping) {
            return new StatusPage(503, "stopping\n");
        }
        return !haveList ? new StatusPage(503, "no list of workers yet\n")
                : !rehearsed ? new StatusPage(503, "warming up\n")
                        : new StatusPage(200, "ready\n");
    }

    /**
     * SIGTERM: goes on taking in and answering on the connections there are for as long as SIGKILL leaves
     * time,
     * since clients that lose them may find no other dispatcher; then ends between tasks.
     */
    public void stop() {
        thread.execute(() -> {
            Log.info("stopping", "tasks", dispatcher.tasks.size(), "connections",
                    dispatcher.clientListener.connectionCount());
            stopping = true;
            if (beside != null) {
                beside.onStopping();
            }
            Moment kill =
                    clock.now().plus(dispatcher.longestDeadline.orShorter(LONGEST_STOP)).plus(KILL_AFTER);
            dispatcher.admission.limitDeadlines(kill.minus(SHORT), kill.minus(GIVE_UP));
            dispatcher.clientListener.beginShutdown();
            lookForEnd(clock.now().plus(STOP_LEAST), kill.minus(LAST_CALL), kill.minus(GIVE_UP));
        });
        awaitStopped();
        Log.info("ended", counters.pairs());
        Log.flush();
        worker.shutdownNow();   // its threads ran on in a process that did more than serve
    }

    /**
     * SIGHUP: goes on with the list service that the new configuration names. The rest of it holds from the
     * next start on; no task, client or worker notices.
     */
    public void reload(Configuration next) {
        List<String> atStart = configuration.restartFor(next);
        thread.execute(() -> {
            counters.add(Counters.Name.RELOADS);
            Log.info("reload", "discovery", next.discovery(), "wait_for_restart", atStart);
            if (watch.switchTo(next.discovery())) {
                dispatcher.policyHost.onEndpointListAwaited(false);
                if (beside != null) {
                    beside.onDiscoveryChanged();
                }
            }
        });
    }

    private void lookForEnd(Moment least, Moment lastCall, Moment giveUp) {
        if (clock.now().before(lastCall)) {
            if (!clock.now().before(least) && dispatcher.clientListener.connectionCount() == 0
                    && dispatcher.clientListener.isUnchangedFor(NOBODY_NEW)) {
                lookForEnd(least, clock.now(), giveUp);
                return;
            }
        } else {
            dispatcher.closeToRequests();
            if (!clock.now().before(giveUp)) {
                dispatcher.policyHost.endAllTasks();
            }
            boolean quiet =
                    dispatcher.clientListener.isEmpty() && dispatcher.clientListener.isUnchangedFor(CROSSED);
            if (dispatcher.tasks.size() == 0
                    && (quiet || !clock.now().before(giveUp.plus(GIVE_UP).minus(HANG_ON)))) {
                watch.stop();
                dispatcher.close();
                if (beside != null) {
                    beside.close();
                }
                ended.countDown();
                return;
            }
        }
        thread.executeAfter(() -> lookForEnd(least, lastCall, giveUp), LOOK.micros(), TimeUnit.MICROSECONDS);
    }

    /** What is done before each first byte to a worker. */
    Runnable beforeFirstByte() {
        return watch::readPending;
    }

    /** Where clients connect. */
    public InetSocketAddress address() {
        return dispatcher.clientListener.address();
    }

    /** Waits until it is warmed up. */
    public void awaitReady() {
        await(ready);
    }

    public boolean isStopped() {
        return ended.getCount() == 0;
    }

    /** Waits until it has stopped. */
    public void awaitStopped() {
        await(ended);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
