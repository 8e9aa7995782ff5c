package rampshift.workers;

import rampshift.connections.HttpConnection;
import rampshift.time.Moment;

/** A connection that has been idle since the given moment. */
record IdleConnection(HttpConnection connection, Moment idleSince) {
}
