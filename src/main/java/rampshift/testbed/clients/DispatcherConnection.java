package rampshift.testbed.clients;

import java.io.IOException;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import rampshift.eventlog.EventClock;
import rampshift.testbed.wire.FaultyConnection;
import rampshift.testbed.wire.Message;
import rampshift.testbed.wire.MessageReader;

/**
 * A client's connection to a dispatcher, with one exchange at a time. It is used on the I/O thread alone.
 */
final class DispatcherConnection implements FaultyConnection.Listener {
    /** Receives the end of one exchange: just one of the two calls, unless the client closes first. */
    interface ExchangeListener {
        /** The response is complete. */
        void onResponse(Message response);

        /**
         * No complete response can come any more.
         *
         * @param failure why
         * @param maybeStale whether the dispatcher may have closed the connection, after an earlier exchange,
         * before it saw this request
         */
        void onFailure(ConnectionFailure failure, boolean maybeStale);
    }

    private final Dispatcher dispatcher;
    private final ConnectionOwner owner;
    private final ClientEventLog eventLog;
    private final FaultyConnection connection;
    private final MessageReader reader = new MessageReader(this::onMessage);
    /** Who awaits a response; null between exchanges. */
    private ExchangeListener listener;
    private boolean reused;
    private int messagesInRead;

    /** Takes an open connection over and starts to read from it. */
    DispatcherConnection(Dispatcher dispatcher, ConnectionOwner owner, ClientEventLog eventLog,
            StreamConnection stream, XnioIoThread thread) {
        this.dispatcher = dispatcher;
        this.owner = owner;
        this.eventLog = eventLog;
        connection = new FaultyConnection(stream, thread, this);
        connection.start();
    }

    /** The dispatcher at the other end. */
    Dispatcher dispatcher() {
        return dispatcher;
    }

    /** Sends a request and awaits its response. */
    void exchange(ClientTaskRequest request, ExchangeListener exchangeListener) {
        listener = exchangeListener;
        connection.write(request.encode());
    }

    /** Closes the connection. No listener is told. */
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

    /** Returns whether the bytes are a part of well-formed responses. */
    private boolean read(byte[] bytes, int count) {
        try {
            reader.read(bytes, 0, count, EventClock.now());
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Closes the connection; whoever awaits a response gets none. */
    private void closeAsInvalid() {
        ExchangeListener waiting = listener;
        close();
        if (waiting != null) {
            waiting.onFailure(ConnectionFailure.INVALID_RESPONSE, false);
        }
    }

    private void onMessage(Message response) {
        messagesInRead++;
        if (messagesInRead > 1) {
            return;
        }
        ExchangeListener waiting = listener;
        listener = null;
        reused = true;
        owner.onExchangeCompleted(this, response.persistent());
        waiting.onResponse(response);
    }

    @Override
    public void onClosed(boolean reset) {
        ExchangeListener waiting = listener;
        listener = null;
        owner.onClosedByPeer(this);
        if (waiting != null) {
            boolean maybeStale = reused && !reader.isInMessage();
            waiting.onFailure(reset ? ConnectionFailure.RESET : ConnectionFailure.CLOSED, maybeStale);
        }
    }
}
