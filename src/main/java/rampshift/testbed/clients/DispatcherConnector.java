package rampshift.testbed.clients;

import java.util.function.Consumer;
import org.xnio.XnioIoThread;

/** Opens connections for tasks, and counts them. */
final class DispatcherConnector {
    private final XnioIoThread thread;
    private final ClientDialer dialer;
    private final ClientEventLog eventLog;
    private final LoadStatistics statistics;

    /**
     * Creates a connector.
     *
     * @param thread the I/O thread on which the connections are used
     * @param dialer opens the sockets
     * @param eventLog records unexpected bytes on the connections
     * @param statistics counts the connections
     */
    DispatcherConnector(XnioIoThread thread, ClientDialer dialer, ClientEventLog eventLog,
            LoadStatistics statistics) {
        this.thread = thread;
        this.dialer = dialer;
        this.eventLog = eventLog;
        this.statistics = statistics;
    }

    /**
     * Opens a connection. Exactly one of the two callbacks is called, on the I/O thread.
     *
     * @param dispatcher the dispatcher to connect to
     * @param owner manages the connection between exchanges
     * @param onConnected receives the connection
     * @param onUnreachable called if the connection is refused or times out
     */
    void open(Dispatcher dispatcher, ConnectionOwner owner, Consumer<DispatcherConnection> onConnected,
            Runnable onUnreachable) {
        dialer.dial(dispatcher.address(), stream -> {
            statistics.connectionOpened();
            onConnected.accept(new DispatcherConnection(dispatcher, owner, eventLog, stream, thread));
        }, onUnreachable);
    }
}
