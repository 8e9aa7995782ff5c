package rampshift.clients;

import java.io.IOException;
import org.xnio.IoUtils;

/**
 * Closes client connections so that no client loses its last response or a request that has already arrived.
 */
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

    /** Releases the resources of a closed connection. */
    void forget(ClientConnection connection) {
        tick.cancelInput(connection);
        table.remove(connection);
        connection.closed();
    }

    /**
     * Closes a connection that has no unread input. Bytes that arrive after a plain close would cause a TCP
     * reset, and the client may lose the preceding response. Therefore the output is shut down first, and
     * input is discarded until the client closes its side.
     */
    void closeIdle(ClientConnection connection) {
        if (!connection.hasSentRequest()) {
            close(connection);      // no response can be lost
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

    /** Discards all further input of a closing connection as it arrives. */
    void keepDiscardingInput(ClientConnection connection) {
        connection.channel().getSourceChannel().setReadListener(channel -> discardInput(connection));
        connection.channel().getSourceChannel().resumeReads();
    }

    /**
     * Discards what a closing connection has received, and closes it if the client has closed its side.
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
     * Reads the available input, and returns whether the connection is no longer to be closed for being idle
     * or late: it has received more, or is already closed. Must be called before each close of a connection
     * that is not busy: after a process pause (2.6 s), or when reads are delayed in a burst, a complete task
     * may still be unread in the socket.
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
