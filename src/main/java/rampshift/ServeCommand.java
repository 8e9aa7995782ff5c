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

    /** The operator's file is null or empty where none is named. */
    ServeCommand(Map<String, String> environment, String operatorFile) {
        this.environment = environment;
        this.operatorFile = operatorFile;
    }

    /** No other API of the JDK tells of SIGHUP. */
    private static void onHangup(Runnable action) {
        sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> action.run());
    }

    /** Returns when the dispatcher has stopped; throws where it can't start. */
    void run() throws IOException {
        // By default the JVM stops on SIGHUP; one that came while it started ended the dispatcher.
        onHangup(hangups::release);
        Configuration configuration = Configuration.read(environment);
        FutureTask<DispatcherServer> start = new FutureTask<>(() -> start(configuration));
        // Registered before the start: it accepts clients while it starts, and a SIGTERM meanwhile lost
        // their tasks.
        Runtime.getRuntime().addShutdownHook(stopper(start));
        start.run();
        reloadUntilEnd(started(start));
    }

    private DispatcherServer start(Configuration configuration) throws IOException {
        if (operatorFile == null || operatorFile.isEmpty()) {
            return new DispatcherServer(configuration);
        }
        Object extension =
                OptionalJars.operator("beside", operatorFile, configuration.name(), Main.version());
        return new DispatcherServer(configuration, (ServerExtension) extension);
    }

    /** Reads the file on this thread, where nothing waits for the disk. */
    private void reloadUntilEnd(DispatcherServer server) {
        while (!server.isStopped()) {
            hangups.acquireUninterruptibly();
            hangups.drainPermits();     // the file as it is now holds what all signals so far announced
            try {
                server.reload(Configuration.read(environment));
            } catch (InvalidInputException e) {
                Log.warn("reload", "kept", "the configuration as it was", "why", e.getMessage());
            }
        }
    }

    /** The shutdown hook that stops the dispatcher once it has started, if it does. */
    static Thread stopper(FutureTask<DispatcherServer> start) {
        return new Thread(() -> {
            try {
                started(start).stop();
            } catch (IOException | RuntimeException e) {
                // It never started; the thread that started it reports why.
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
