package rampshift.membership.host;

import java.util.Collection;
import org.xnio.XnioIoThread;
import rampshift.settings.Configuration;
import rampshift.time.Clock;

/**
 * Sends messages of other modules to members by name, over the UDP socket of the membership. All methods must
 * be called on the I/O thread.
 */
public interface MessageChannel {
    /**
     * Sends a payload to the member with that name, which may be this one. The payload may be lost on the way
     * and is dropped if the address of the member is unknown.
     */
    void send(String to, byte[] payload);

    /** Returns the I/O thread. */
    XnioIoThread thread();

    /** Returns the clock of the I/O thread. */
    Clock clock();

    /** Returns the configuration of the dispatcher. */
    Configuration configuration();

    /** A module that uses the channel. Its methods are called on the I/O thread. */
    interface Handler {
        /** Called when the channel has been opened. */
        void onOpen(MessageChannel channel);

        /** Handles a payload from the member with that name. */
        void onMessage(String from, byte[] payload);

        /** Called after each event with the names of all alive or suspect members, including this one. */
        void onReachableMembers(Collection<String> names);

        /** Returns the answer to a query from the command line, or null if this module doesn't know it. */
        String answer(String query);

        /** Called when the dispatcher starts to shut down; the module releases its leases. */
        void onStopping();

        /** Called before the channel is closed, even if it could not be opened. */
        void onClose();
    }
}
