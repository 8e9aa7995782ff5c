package rampshift.clients;

import rampshift.time.Span;

/**
 * Limits on the connections and the memory that clients use.
 *
 * @param connections the number of connections beyond which idle ones are closed
 * @param extraConnections how many more are accepted when no connection can be closed; while there are
 *     more than {@code connections}, connections are closed after their responses; clients beyond the sum of
 *     both numbers wait in the kernel's backlog
 * @param receivingBytes maximum memory for requests that are being received, in bytes
 * @param idleTime maximum time for which a connection stays open between tasks
 */
public record ClientLimits(int connections, int extraConnections, long receivingBytes, Span idleTime) {
    /** Returns the maximum number of accepted connections. */
    int allConnections() {
        return connections + extraConnections;
    }
}
