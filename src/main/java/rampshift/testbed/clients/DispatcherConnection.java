package rampshift.testbed.clients;

import java.io.IOException;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import rampshift.eventlog.EventClock;
import rampshift.testbed.wire.FaultyConnection;
import rampshift.testbed.wire.Message;
import rampshift.testbed.wire.MessageReader;

/**
 * A client's connection to a dispatcher, with one exchange at a time. Used on the I/O thread only.
 */
final class DispatcherConnection implements FaultyConnection.Listener {
    /** Receives the end of one exchange: exactly one call, or none if the client closes the connection. */
    interface ExchangeListener {
        /** Handles a complete response. */
        void onResponse(Message response);

        /**
         * Handles the failure of an exchange without a complete response.
         *
         * @param failure the reason
         * @param maybeStale whether the dispatcher may have closed the connection, after an earlier exchange,
         * before it received this request
         */
        void onFailure(ConnectionFailure failure, boolean maybeStale);
    }

    private final Dispatcher dispatcher;
    private final ConnectionOwner owner;
    private final ClientEventLog eventLog;
    private final FaultyConnection connection;
    private final MessageReader reader = new MessageReader(this::onMessage);
    /** The listener of the current exchange; null between exchanges. */
    private ExchangeListener listener;
    private boolean reused;
    private int messagesInRead;

    /** Wraps an open connection and starts to read from it. */
    DispatcherConnection(Dispatcher dispatcher, ConnectionOwner owner, ClientEventLog eventLog,
            StreamConnection stream, XnioIoThread thread) {
        this.dispatcher = dispatcher;
        this.owner = owner;
        this.eventLog = eventLog;
        connection = new FaultyConnection(stream, thread, this);
        connection.start();
    }

    /** Returns the dispatcher at the other end. */
    Dispatcher dispatcher() {
        return dispatcher;
    }

    /** Sends a request and registers the listener of its response. */
    void exchange(ClientTaskRequest request, ExchangeListener exchangeListener) {
        listener = exchangeListener;
        connection.write(request.encode());
    }

    /** Closes the connection without notifying the listener of the exchange. */
    void close() {
        owner.onClosedByClient(this);
        listener = null;
        connection.close();
    }

    @Override
    public void onBytes(byte[] bytes, int count) {
        if (listener == null) {
            eventLog.onUnexpectedBytes(dispatcher, count);
            close();
            return;
        }
        messagesInRead = 0;
        boolean valid = read(bytes, count);
        if (messagesInRead > 1 || (messagesInRead == 1 && (!valid || reader.isInMessage()))) {
            eventLog.onUnexpectedBytes(dispatcher, count);
            closeAsInvalid();
        } else if (!valid) {
            closeAsInvalid();
        }
    }

    /** Parses bytes; returns whether they are part of well-formed responses. */
    private boolean read(byte[] bytes, int count) {
        try {
            reader.read(bytes, 0, count, EventClock.now());
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Closes the connection and reports an invalid response to the listener, if there is one. */
    private void closeAsInvalid() {
        ExchangeListener current = listener;
        close();
        if (current != null) {
            current.onFailure(ConnectionFailure.INVALID_RESPONSE, false);
        }
    }

    private void onMessage(Message response) {
        messagesInRead++;
        if (messagesInRead > 1) {
            return;
        }
        ExchangeListener current = listener;
        listener = null;
        reused = true;
        owner.onExchangeCompleted(this, response.persistent());
        current.onResponse(response);
    }

    @Override
    public void onClosed(boolean reset) {
        ExchangeListener current = listener;
        listener = null;
        owner.onClosedByPeer(this);
        if (current != null) {
            boolean maybeStale = reused && !reader.isInMessage();
            current.onFailure(reset ? ConnectionFailure.RESET : ConnectionFailure.CLOSED, maybeStale);
        }
    }
}
