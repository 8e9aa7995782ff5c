package rampshift.serve;

import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.discovery.EndpointList;
import rampshift.settings.Configuration;
import rampshift.time.Clock;

/** An extension without effect, for a dispatcher that has none. */
final class NoExtension implements ServerExtension {
    @Override
    public int maxDescriptors(Configuration configuration) {
        return 0;
    }

    @Override
    public void start(XnioWorker worker, XnioIoThread thread, Clock clock, Configuration configuration,
            EndpointListener listener) {
        // nothing to start
    }

    @Override
    public EndpointList adjust(EndpointList ownList) {
        return ownList;
    }

    @Override
    public void onDiscoveryChanged() {
        // nothing depends on it
    }

    @Override
    public void onReady() {
        // nothing depends on it
    }

    @Override
    public void onStopping() {
        // nothing depends on it
    }

    @Override
    public void close() {
        // nothing to release
    }
}
