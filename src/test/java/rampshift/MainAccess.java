package rampshift;

import java.util.concurrent.FutureTask;
import rampshift.serve.DispatcherServer;

/** Gives tests of other packages access to what the command line does on SIGTERM. */
public final class MainAccess {
    private MainAccess() {}

    /** The shutdown hook of {@code serve}. */
    public static Thread shutdownHook(FutureTask<DispatcherServer> start) {
        return ServeCommand.shutdownHook(start);
    }
}
