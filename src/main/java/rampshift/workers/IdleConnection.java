package rampshift.workers;

import rampshift.connections.HttpConnection;
import rampshift.time.Moment;

/** A connection that waits for its next exchange since the given moment. */
record IdleConnection(HttpConnection connection, Moment idleSince) {
}
