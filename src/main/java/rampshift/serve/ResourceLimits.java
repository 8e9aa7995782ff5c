package rampshift.serve;

import rampshift.settings.Configuration;
import rampshift.settings.HostSettings;

/**
 * How the file descriptors and the memory of a dispatcher are shared among its parts.
 *
 * @param workerConnections connections to workers, at most
 * @param clientConnections connections from clients, at most, before idle ones are closed for new ones
 * @param spareClientConnections further connections from clients, which are closed with their responses
 * @param inFlightTasks tasks in flight, at most
 * @param inFlightBytes bytes that tasks in flight may hold, at most
 * @param receivingBytes bytes of requests that are still being received, at most
 */
record ResourceLimits(int workerConnections, int clientConnections, int spareClientConnections,
        int inFlightTasks,
        long inFlightBytes, long receivingBytes) {

    /** Descriptors of the JVM, of its files and of discovery. */
    private static final int RESERVED_DESCRIPTORS = 64;
    /** What is shared out even where fewer are left. */
    private static final int MIN_DESCRIPTORS = 8;
    private static final double WORKER_DESCRIPTOR_SHARE = 0.4;
    /** Of the clients' descriptors. */
    private static final double SPARE_CLIENT_SHARE = 0.1;
    private static final double IN_FLIGHT_MEMORY_SHARE = 0.08;
    private static final double RECEIVING_MEMORY_SHARE = 0.08;
    private static final int BYTES_PER_MB = 1 << 20;

    /** Shares out the limits of a configuration, less the descriptors that an extension uses. */
    static ResourceLimits of(Configuration configuration, HostSettings host, int extensionDescriptors) {
        int free = configuration.sockets() - RESERVED_DESCRIPTORS - extensionDescriptors;
        int descriptors = Math.max(MIN_DESCRIPTORS, free);
        int workers = (int) (descriptors * WORKER_DESCRIPTOR_SHARE);
        int allClients = descriptors - workers;
        int spareClients = (int) (allClients * SPARE_CLIENT_SHARE);
        int clients = allClients - spareClients;
        return new ResourceLimits(workers, clients, spareClients, Math.min(host.maxConnections(), clients),
                memoryShare(configuration, IN_FLIGHT_MEMORY_SHARE),
                memoryShare(configuration, RECEIVING_MEMORY_SHARE));
    }

    private static long memoryShare(Configuration configuration, double share) {
        return (long) (configuration.memoryMb() * share * BYTES_PER_MB);
    }
}
