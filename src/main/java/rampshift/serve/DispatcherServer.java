package rampshift.serve;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.clients.StatusPage;
import rampshift.connections.Dialer;
import rampshift.counters.Counters;
import rampshift.discovery.EndpointList;
import rampshift.discovery.EndpointListParser;
import rampshift.discovery.EndpointWatch;
import rampshift.log.Log;
import rampshift.settings.Configuration;
import rampshift.settings.InvalidInputException;
import rampshift.time.Clock;

/**
 * A dispatcher that serves on sockets, from its start to its stop. It runs on one I/O thread; the public
 * methods may be called on any other thread.
 */
public final class DispatcherServer {
    /** Size of a direct buffer, of which a connection may hold one while its client does not read. */
    static final int BUFFER_BYTES = 4 * 1024;
    private static final int MAX_POOLED_BUFFERS = 256;
    private static final int STATUS_OK = 200;

    private final Configuration configuration;
    private final ServerExtension extension;
    private final Clock clock = new Clock();
    private final Counters counters = new Counters();
    private final Readiness readiness = new Readiness();
    private final CountDownLatch ready = new CountDownLatch(1);
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final XnioWorker worker;
    final XnioIoThread thread;
    Dispatcher dispatcher;
    private EndpointWatch watch;

    /**
     * Starts a dispatcher without an extension.
     *
     * @throws IOException if the dispatcher cannot listen on its address
     * @throws InvalidInputException if the configuration is invalid; the message is one line with the reason
     */
    public DispatcherServer(Configuration configuration) throws IOException {
        this(configuration, null);
    }

    /**
     * Starts a dispatcher.
     *
     * @param extension runs along with the dispatcher; null for none
     * @throws IOException if the dispatcher or its extension cannot listen on an address
     * @throws InvalidInputException if the configuration is invalid; the message is one line with the reason
     */
    public DispatcherServer(Configuration configuration, ServerExtension extension) throws IOException {
        this.configuration = configuration;
        this.extension = extension == null ? new NoExtension() : extension;
        worker = IoThreads.create();
        thread = worker.getIoThread(0);
        FutureTask<Void> start = new FutureTask<>(() -> {
            startParts();
            return null;
        });
        thread.execute(start);
        try {
            start.get();
        } catch (ExecutionException e) {
            worker.shutdownNow();
            throw startFailure(e.getCause());
        } catch (InterruptedException e) {
            throw new IOException("interrupted");
        }
    }

    /**
     * Starts a dispatcher that has no clients, so that the JVM can archive the classes that a start loads.
     */
    public static DispatcherServer forClassArchive() throws IOException {
        return new DispatcherServer(WarmUpMessages.configuration());
    }

    private static RuntimeException startFailure(Throwable cause) throws IOException {
        if (cause instanceof IOException failure) {
            throw failure;
        }
        return cause instanceof InvalidInputException invalid ? invalid : new IllegalStateException(cause);
    }

    private void startParts() throws IOException {
        ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);
        Dialer dialer = new Dialer(thread);
        dispatcher = new Dispatcher(thread, buffers, dialer, clock, counters, configuration,
                extension.maxDescriptors(configuration));
        if (configuration.knownEndpoints() != null) {
            useKnownEndpoints();
        }
        dispatcher.clientListener.addPage("/ready", readiness::page);
        dispatcher.clientListener.addPage("/counters",
                () -> new StatusPage(STATUS_OK, counters.text()));
        dispatcher.clientListener.listen(worker, configuration.listen());
        watch = new EndpointWatch(thread, dialer, clock, configuration.discovery(), dispatcher.drainGrace,
                counters,
                new WatchListener());
        dispatcher.setFirstByteHook(firstByteHook());
        extension.start(worker, thread, clock, configuration,
                changes -> dispatcher.policyHost.onEndpointList(changes, false));
        watch.start();
        Log.info("started", "name", configuration.name(), "listen", address());
        new WarmUp(thread, buffers, clock, () -> counters.get(Counters.Name.TASKS_ADMITTED) == 0,
                this::onWarmedUp).start();
    }

    /** Uses the endpoint list of an earlier process until the discovery agent responds. */
    private void useKnownEndpoints() {
        EndpointList known = EndpointListParser.parse(configuration.knownEndpoints(),
                configuration.knownEndpoints().length);
        dispatcher.policyHost.onEndpointList(known, true);
        if (!known.endpoints().isEmpty()) {
            readiness.endpointsKnown();
        }
        dispatcher.policyHost.onEndpointListAwaited(true);
    }

    private void onWarmedUp() {
        readiness.warmedUp();
        extension.onReady();
        Log.info("ready", "list", readiness.haveEndpoints());
        ready.countDown();
    }

    private final class WatchListener implements EndpointWatch.Listener {
        @Override
        public void onList(EndpointList list) {
            readiness.endpointsKnown();
            dispatcher.policyHost.onEndpointList(extension.adjust(list), false);
        }

        @Override
        public void onUnavailable() {
            dispatcher.policyHost.onEndpointListFailed();
        }
    }

    /**
     * Stops the dispatcher gracefully, as on SIGTERM, and waits until it has stopped. Connections are served
     * until shortly before SIGKILL, and then closed between tasks.
     */
    public void stop() {
        thread.execute(() -> {
            Log.info("stopping", "tasks", dispatcher.tasks.size(), "connections",
                    dispatcher.clientListener.connectionCount());
            readiness.stopping();
            extension.onStopping();
            new GracefulShutdown(thread, clock, dispatcher, this::release).start();
        });
        awaitStopped();
        Log.info("stopped", counters.pairs());
        Log.flush();
        worker.shutdownNow(); // otherwise its threads keep running in a process that does not exit
    }

    private void release() {
        watch.stop();
        dispatcher.close();
        extension.close();
        stopped.countDown();
    }

    /**
     * Switches to the discovery agent of a new configuration, as on SIGHUP. Other changes of the
     * configuration take effect at the next start. Tasks and connections of clients and workers are not
     * interrupted.
     */
    public void reload(Configuration next) {
        List<String> partsRequiringRestart = configuration.partsRequiringRestart(next);
        thread.execute(() -> {
            counters.add(Counters.Name.RELOADS);
            Log.info("reload", "discovery", next.discovery(), "wait_for_restart", partsRequiringRestart);
            if (watch.switchTo(next.discovery())) {
                dispatcher.policyHost.onEndpointListAwaited(false);
                extension.onDiscoveryChanged();
            }
        });
    }

    /**
     * Runs an action, on a thread of its own, once the I/O thread has ended for any other reason than {@link
     * #stop()}, such as an error in the selector. Without the I/O thread nothing is served any more.
     */
    public void onThreadFailure(Runnable action) {
        Thread watcher = new Thread(() -> {
            joinIoThread();
            if (!isStopped()) {
                action.run();
            }
        }, "io-watch");
        watcher.setDaemon(true);
        watcher.start();
    }

    private void joinIoThread() {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the hook that runs before the first byte of each request to a worker. */
    Runnable firstByteHook() {
        return watch::readPending;
    }

    /** Returns the address on which the dispatcher listens for clients. */
    public InetSocketAddress address() {
        return dispatcher.clientListener.address();
    }

    /** Waits until the dispatcher is ready. */
    public void awaitReady() {
        await(ready);
    }

    /** Returns whether the dispatcher has stopped. */
    public boolean isStopped() {
        return stopped.getCount() == 0;
    }

    /** Waits until the dispatcher has stopped. */
    public void awaitStopped() {
        await(stopped);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
