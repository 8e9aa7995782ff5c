package rampshift.clients;

import rampshift.time.Span;

/**
 * The limits of what clients may occupy.
 *
 * @param connections the most connections that are meant to stay; beyond them idle ones are closed
 * @param extraConnections how many more are accepted where none can be closed; these are closed after their
 *     responses, and further clients wait in the kernel's backlog
 * @param receivingBytes the most memory for requests that are being received, in bytes
 * @param idleTime for how long a connection stays open between tasks
 */
public record ClientLimits(int connections, int extraConnections, long receivingBytes, Span idleTime) {
    /** Returns the most connections that are accepted at all. */
    int allConnections() {
        return connections + extraConnections;
    }
}
