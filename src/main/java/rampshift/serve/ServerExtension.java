package rampshift.serve;

import java.io.IOException;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.discovery.EndpointList;
import rampshift.settings.Configuration;
import rampshift.time.Clock;

/**
 * An optional component that runs along with a dispatcher if an operator's file enables it. All methods are
 * called on the I/O thread.
 */
public interface ServerExtension {
    /**
     * Returns the maximum number of file descriptors that the extension uses; they reduce the limits of the
     * dispatcher.
     */
    int maxDescriptors(Configuration configuration);

    /**
     * Starts the extension.
     *
     * @param listener is notified of workers that accept no new tasks according to sources other than the
     *     dispatcher's own discovery agent
     * @throws IOException if the extension cannot listen on its address
     */
    void start(XnioWorker worker, XnioIoThread thread, Clock clock, Configuration configuration,
            EndpointListener listener) throws IOException;

    /**
     * Adjusts a list that the dispatcher's own discovery agent has sent.
     *
     * @return the list that the dispatcher uses instead
     */
    EndpointList adjust(EndpointList ownList);

    /**
     * Called when the dispatcher has switched to another discovery agent, whose versions are not comparable
     * with those of the former one.
     */
    void onDiscoveryChanged();

    /** Called when the dispatcher is ready. */
    void onReady();

    /** Called when the dispatcher has begun to stop. */
    void onStopping();

    /** Releases sockets and timers when the dispatcher stops. */
    void close();

    /** Receives changes of workers from sources other than the dispatcher's own discovery agent. */
    interface EndpointListener {
        /** Called with workers that accept no new tasks. */
        void onEndpoints(EndpointList changes);
    }
}
