package rampshift.membership.host;

import java.util.Collection;
import org.xnio.XnioIoThread;
import rampshift.settings.Configuration;
import rampshift.time.Clock;

/**
 * How others than the members use their address: parcels by name, over the same datagrams. All on the I/O
 * thread.
 */
public interface MessageChannel {
    /** Lost where that name has no address here, or on the way. Its own name: to itself. */
    void post(String to, byte[] parcel);

    XnioIoThread thread();

    Clock clock();

    Configuration configuration();

    /** Whoever sends and gets parcels. */
    interface Guest {
        void begin(MessageChannel post);

        void parcel(String from, byte[] parcel);

        /** Who is there by now; this one among them. */
        void there(Collection<String> names);

        /** Asked by a person's command; null where the question is none of its own. */
        String asked(String question);

        /** It is about to end: what it holds is given back. */
        void stopping();

        void end();
    }
}
