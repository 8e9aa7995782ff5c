package rampshift.serve;

import java.io.IOException;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.discovery.EndpointList;
import rampshift.settings.Configuration;
import rampshift.time.Clock;

/** What runs beside a dispatcher by the operator's file. All of it is called on the I/O thread. */
public interface ServerExtension {
    /** How many descriptors it takes at the most: the dispatcher does with so many fewer. */
    int maxDescriptors(Configuration configuration);

    /** Begins; throws where an address can't be had. */
    void start(XnioWorker worker, XnioIoThread thread, Clock clock, Configuration configuration,
            EndpointListener listener)
            throws IOException;

    /** The dispatcher's own list service has told this; what is to be gone by. */
    EndpointList adjust(EndpointList ownList);

    /** The list service is another from now on: what it counts as versions says nothing of the former's. */
    void onDiscoveryChanged();

    /** Warmed up. */
    void onReady();

    /** It is about to end. */
    void onStopping();

    /** It ends: sockets and timers are given back. */
    void close();

    /** Told of workers that take nothing new, by others than the own list service. */
    interface EndpointListener {
        void onEndpoints(EndpointList changes);
    }
}
