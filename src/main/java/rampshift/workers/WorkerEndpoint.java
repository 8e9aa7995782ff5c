package rampshift.workers;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import rampshift.connections.HttpConnection;
import rampshift.time.Span;

/** One worker as the pool knows it, and the idle connections to it. */
final class WorkerEndpoint {
    final long number;
    final String uid;
    InetSocketAddress address;
    /** Its zone and kind, as listed. */
    String where;
    long bootMs;
    /**
     * Goes up when it moves, restarts or becomes another kind: connections from before are no longer to it.
     */
    int life;
    /** It takes new tasks, by the last list. */
    boolean ready;
    /** The shortest time in which an answer began; ZERO where none came yet. */
    Span quickest = Span.ZERO;
    /** The last used first. */
    final ArrayDeque<HttpConnection> idle = new ArrayDeque<>();

    WorkerEndpoint(long number, String uid) {
        this.number = number;
        this.uid = uid;
    }
}
