package rampshift;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.Semaphore;
import rampshift.log.Log;
import rampshift.serve.DispatcherServer;
import rampshift.serve.ServerExtension;
import rampshift.settings.Configuration;
import rampshift.settings.InvalidInputException;

/** {@code rampshift serve}: starts a dispatcher, reloads its configuration on SIGHUP, stops it on SIGTERM. */
final class ServeCommand {
    private final Map<String, String> environment;
    private final String operatorFile;
    private final Semaphore hangups = new Semaphore(0);

    /** Creates the command; the operator's file is null or empty if none is given. */
    ServeCommand(Map<String, String> environment, String operatorFile) {
        this.environment = environment;
        this.operatorFile = operatorFile;
    }

    /** Runs an action on SIGHUP. The JDK has no other API for this signal. */
    private static void onHangup(Runnable action) {
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> action.run());
    }

    /** Runs until the dispatcher has stopped; throws if the dispatcher can't start. */
    void run() throws IOException {
        // Installed first: by default the JVM exits on SIGHUP, and one during the start would end the
        // dispatcher.
        onHangup(hangups::release);
        Configuration configuration = Configuration.read(environment);
        FutureTask<DispatcherServer> start = new FutureTask<>(() -> start(configuration));
        // Registered before the start: the dispatcher accepts clients while it starts, and a SIGTERM at that
        // time would otherwise lose their tasks.
        Runtime.getRuntime().addShutdownHook(shutdownHook(start));
        start.run();
        DispatcherServer server = started(start);
        server.onThreadFailure(ServeCommand::exitAtOnce);
        reloadUntilEnd(server);
    }

    /**
     * Ends the process without a graceful shutdown. Without its I/O thread it can serve nobody, but the
     * kernel would go on accepting connections for it: clients get a reset now, and the platform can start it
     * anew.
     */
    private static void exitAtOnce() {
        try {
            Log.error("io-thread-ended", "exit", ExitStatus.FAILED);
            Log.flush();
        } finally {
            Runtime.getRuntime().halt(ExitStatus.FAILED);
        }
    }

    private DispatcherServer start(Configuration configuration) throws IOException {
        if (operatorFile == null || operatorFile.isEmpty()) {
            return new DispatcherServer(configuration);
        }
        Object extension =
                OptionalJars.operator("beside", operatorFile, configuration.name(), Main.version());
        return new DispatcherServer(configuration, (ServerExtension) extension);
    }

    /**
     * Reloads the configuration on each SIGHUP until the dispatcher has stopped. The file is read on this
     * thread, so that the I/O thread does not wait for the disk.
     */
    private void reloadUntilEnd(DispatcherServer server) {
        while (!server.isStopped()) {
            hangups.acquireUninterruptibly();
            hangups.drainPermits();     // one read of the file covers all earlier signals
            try {
                server.reload(Configuration.read(environment));
            } catch (InvalidInputException e) {
                Log.warn("reload", "kept", "the current configuration", "why", e.getMessage());
            }
        }
    }

    /** Returns the shutdown hook, which waits for the start of the dispatcher and then stops it. */
    static Thread shutdownHook(FutureTask<DispatcherServer> start) {
        return new Thread(() -> {
            try {
                started(start).stop();
            } catch (IOException | RuntimeException e) {
                // The start failed; the thread that ran it reports the reason.
            }
        }, "stop");
    }

    private static DispatcherServer started(FutureTask<DispatcherServer> start) throws IOException {
        try {
            return start.get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IOException cause) {
                throw cause;
            }
            throw e.getCause() instanceof RuntimeException cause ? cause
                    : new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            throw new IOException("interrupted");
        }
    }
}
