package rampshift.jobs.host;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import org.xnio.XnioIoThread;
import rampshift.connections.Dialer;
import rampshift.connections.HttpConnection;
import rampshift.time.Span;

/**
 * Submits tasks to this dispatcher's own listener as a client does, and owns the idle connections to it.
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

    /** Starts an exchange on an idle connection, or on a new one if none is reusable. */
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

    /** Returns a connection to the idle ones after an exchange, or closes it. */
    void release(HttpConnection connection) {
        if (connection.isReusable() && !stopped) {
            idle.push(connection);
        } else {
            connection.close();
        }
    }

    /** Schedules a call on the I/O thread. */
    void execute(Runnable task) {
        thread.execute(task);
    }

    void stop() {
        stopped = true;
        idle.forEach(HttpConnection::close);
    }
}
