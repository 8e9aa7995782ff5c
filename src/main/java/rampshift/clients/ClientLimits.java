package rampshift.clients;

import rampshift.connections.MemoryBudget;
import rampshift.time.Span;

/**
 * Limits on the connections and the memory that clients use.
 *
 * @param connections the number of connections beyond which idle ones are closed
 * @param extraConnections how many more are accepted when no connection can be closed; while there are
 *     more than {@code connections}, connections are closed after their responses; clients beyond the sum of
 *     both numbers wait in the kernel's backlog
 * @param receivingMemory the memory for requests that are being received
 * @param responseMemory the memory for responses that are being written
 * @param idleTime maximum time for which a connection stays open between tasks
 */
public record ClientLimits(int connections, int extraConnections, MemoryBudget receivingMemory,
        MemoryBudget responseMemory, Span idleTime) {
    /** Returns the maximum number of accepted connections. */
    int allConnections() {
        return connections + extraConnections;
    }
}
