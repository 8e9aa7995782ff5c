package rampshift.clients;

import java.io.IOException;
import org.xnio.IoUtils;

/** Closes clients' connections, so that no client loses its last response or a request that has arrived. */
final class ConnectionCloser {
    private static final int MAX_READS = 16;

    private final ConnectionTable table;
    private final TickBudget tick;

    ConnectionCloser(ConnectionTable table, TickBudget tick) {
        this.table = table;
        this.tick = tick;
    }

    /** Closes a connection at once. */
    void close(ClientConnection connection) {
        forget(connection);
        IoUtils.safeClose(connection.channel());
    }

    /** Releases what is kept for a connection that is closed. */
    void forget(ClientConnection connection) {
        tick.cancelInput(connection);
        table.remove(connection);
        connection.releaseMemory();
    }

    /**
     * Closes a connection on which no input waits. Bytes that arrive afterwards would turn the close into a
     * reset, which may swallow the response before it: so the output is shut down first, and input is read
     * until the client closes.
     */
    void closeIdle(ClientConnection connection) {
        if (!connection.hasSentRequest()) {
            close(connection);      // no response was sent before
            return;
        }
        connection.startClosing();
        connection.releaseMemory();
        keepDiscardingInput(connection);
        shutdownWrites(connection);
    }

    void shutdownWrites(ClientConnection connection) {
        try {
            connection.channel().getSinkChannel().shutdownWrites();
            connection.channel().getSinkChannel().flush();
        } catch (IOException e) {
            close(connection);
        }
    }

    /** Discards the input of a closing connection whenever some arrives. */
    void keepDiscardingInput(ClientConnection connection) {
        connection.channel().getSourceChannel().setReadListener(channel -> discardInput(connection));
        connection.channel().getSourceChannel().resumeReads();
    }

    /**
     * Discards what a closing connection has received, and closes it if its client has left.
     *
     * @return whether any bytes had arrived
     */
    boolean discardInput(ClientConnection connection) {
        boolean received = false;
        try {
            for (int i = 0; i < MAX_READS; i++) {
                int count = connection.discardInput();
                if (count < 0) {
                    close(connection);
                    return received;
                }
                if (count == 0) {
                    return received;
                }
                received = true;
            }
        } catch (IOException e) {
            close(connection);
        }
        return received;
    }

    /**
     * Reads what has arrived, and returns whether the connection need not be closed for being idle or late:
     * it has received more, or is closed by now. To be asked before each close of a connection that is not
     * busy. A dispatcher that was stopped for 2.6 s, and one that was late to its reads in a burst, closed
     * connections whose complete tasks were unread.
     */
    boolean hasNewInput(ClientConnection connection) {
        boolean hadStartedRequest = connection.hasStartedRequest();
        try {
            if (connection.readUntilPeerClosed()) {
                close(connection);
            } else if (connection.isBusy()) {
                connection.channel().getSourceChannel().wakeupReads();
            }
        } catch (IOException e) {
            close(connection);
        }
        return connection.isBusy() || connection.isClosing()
                || (connection.hasStartedRequest() && !hadStartedRequest) || !table.contains(connection);
    }
}
