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
    int descriptors(Configuration configuration);

    /** Begins; throws where an address can't be had. */
    void begin(XnioWorker worker, XnioIoThread thread, Clock clock, Configuration configuration, Bound bound)
            throws IOException;

    /** The dispatcher's own list service has told this; what is to be gone by. */
    EndpointList listed(EndpointList own);

    /** The list service is another from now on: what it counts as versions says nothing of the former's. */
    void moved();

    /** Warmed up. */
    void serving();

    /** It is about to end. */
    void stopping();

    /** It ends: sockets and timers are given back. */
    void end();

    /** Told of workers that take nothing new, by others than the own list service. */
    interface Bound {
        void bound(EndpointList changes);
    }
}
