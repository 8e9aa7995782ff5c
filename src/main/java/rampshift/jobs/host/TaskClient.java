package rampshift.jobs.host;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import org.xnio.XnioIoThread;
import rampshift.connections.Dialer;
import rampshift.connections.HttpConnection;
import rampshift.time.Span;

/**
 * Submits tasks to the dispatcher's own listener, as any client would, and owns the idle connections to it.
 */
final class TaskClient {
    private static final Span CONNECT_TIMEOUT = Span.ofMillis(1000);

    private final XnioIoThread thread;
    private final InetSocketAddress address;
    private final Dialer dialer;
    private final ArrayDeque<HttpConnection> idle = new ArrayDeque<>();
    private boolean stopped;

    TaskClient(XnioIoThread thread, InetSocketAddress address) {
        this.thread = thread;
        this.address = address;
        dialer = new Dialer(thread);
    }

    /** Starts an exchange on an idle connection, or on a new one. */
    void submit(TaskExchange exchange) {
        HttpConnection connection = idle.poll();
        while (connection != null && !connection.isReusable()) {
            connection.close();
            connection = idle.poll();
        }
        if (connection == null) {
            dialer.dial(address, CONNECT_TIMEOUT, exchange);
        } else {
            exchange.onConnected(connection);
        }
    }

    /** Takes a connection back after an exchange. */
    void release(HttpConnection connection) {
        if (connection.isReusable() && !stopped) {
            idle.push(connection);
        } else {
            connection.close();
        }
    }

    /** Runs later on the I/O thread. */
    void execute(Runnable task) {
        thread.execute(task);
    }

    void stop() {
        stopped = true;
        idle.forEach(HttpConnection::close);
    }
}
