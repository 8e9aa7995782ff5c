package rampshift;

import java.util.concurrent.FutureTask;
import rampshift.serve.DispatcherServer;

/** Gives tests of other packages access to the handling of SIGTERM. */
public final class MainAccess {
    private MainAccess() {}

    /** Returns the shutdown hook of {@code serve}. */
    public static Thread shutdownHook(FutureTask<DispatcherServer> start) {
        return ServeCommand.shutdownHook(start);
    }
}
