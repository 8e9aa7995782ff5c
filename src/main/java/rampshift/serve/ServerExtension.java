package rampshift.serve;

import java.io.IOException;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.discovery.EndpointList;
import rampshift.settings.Configuration;
import rampshift.time.Clock;

/**
 * What runs beside a dispatcher where an operator's file asks for it. All of it is called on the I/O
 * thread.
 */
public interface ServerExtension {
    /** How many file descriptors it uses at most; the dispatcher makes do with that many fewer. */
    int maxDescriptors(Configuration configuration);

    /**
     * Starts it.
     *
     * @param listener is told of workers that accept nothing new, as far as others than the own discovery
     *     agent know
     * @throws IOException where it cannot listen on its address
     */
    void start(XnioWorker worker, XnioIoThread thread, Clock clock, Configuration configuration,
            EndpointListener listener) throws IOException;

    /**
     * The dispatcher's own discovery agent has sent a list.
     *
     * @return the list that the dispatcher is to use in its place
     */
    EndpointList adjust(EndpointList ownList);

    /**
     * The discovery agent is another from now on; its versions do not compare with those of the former one.
     */
    void onDiscoveryChanged();

    /** The dispatcher is warmed up. */
    void onReady();

    /** The dispatcher has begun to stop. */
    void onStopping();

    /** The dispatcher stops: gives back sockets and timers. */
    void close();

    /** Receives changes of workers that others than the own discovery agent have observed. */
    interface EndpointListener {
        /** These workers accept nothing new. */
        void onEndpoints(EndpointList changes);
    }
}
