package rampshift;

import java.util.concurrent.FutureTask;
import rampshift.serve.DispatcherServer;

/** Lets the stories of other packages at what the command line does on SIGTERM. */
public final class MainAccess {
    private MainAccess() {}

    public static Thread stopper(FutureTask<DispatcherServer> start) {
        return Main.stopper(start);
    }
}
