package rampshift.membership.host;

import java.util.Collection;
import org.xnio.XnioIoThread;
import rampshift.settings.Configuration;
import rampshift.time.Clock;

/**
 * Sends messages of other modules to members by name, over the address and the datagrams of the membership.
 * All methods must be called on the I/O thread.
 */
public interface MessageChannel {
    /**
     * Sends a payload to the member of that name, which may be this one. It is lost where the name has no
     * known address, or on the way.
     */
    void send(String to, byte[] payload);

    /** The I/O thread. */
    XnioIoThread thread();

    /** The clock of the I/O thread. */
    Clock clock();

    /** The configuration of the dispatcher. */
    Configuration configuration();

    /** A module that uses the channel. It is called on the I/O thread. */
    interface Handler {
        /** The channel is open. */
        void begin(MessageChannel channel);

        /** A payload came from the member of that name. */
        void onMessage(String from, byte[] payload);

        /** The names of the members that are alive or suspect, this one among them, after each event. */
        void onReachableMembers(Collection<String> names);

        /** The answer to a question from the command line, or null if the question is not for this module. */
        String answer(String question);

        /** The dispatcher begins to shut down: what is held for the fleet is given back. */
        void stopping();

        /** The channel is about to be closed. */
        void end();
    }
}
