package rampshift.serve;

import rampshift.settings.Configuration;
import rampshift.settings.HostSettings;

/**
 * The division of the file descriptors and the memory of a dispatcher among its components.
 *
 * @param workerConnections maximum number of connections to workers
 * @param clientConnections number of client connections above which idle ones are closed
 * @param spareClientConnections number of further client connections; while any of them is in use,
 *     connections are closed after their responses
 * @param inFlightTasks maximum number of tasks in flight
 * @param inFlightBytes maximum memory of tasks in flight, in bytes
 * @param receivingBytes maximum memory of requests that are being received, in bytes
 * @param responseBytes maximum memory of incomplete responses of workers, in bytes
 */
record ResourceLimits(int workerConnections, int clientConnections, int spareClientConnections,
        int inFlightTasks,
        long inFlightBytes, long receivingBytes, long responseBytes) {

    /** Descriptors reserved for the JVM, its files and discovery. */
    private static final int RESERVED_DESCRIPTORS = 64;
    /** Minimum number of descriptors to divide, even if fewer are available. */
    private static final int MIN_DESCRIPTORS = 8;
    private static final double WORKER_DESCRIPTOR_SHARE = 0.4;
    /** Share of the descriptors for clients. */
    private static final double SPARE_CLIENT_SHARE = 0.1;
    private static final double IN_FLIGHT_MEMORY_SHARE = 0.08;
    private static final double RECEIVING_MEMORY_SHARE = 0.08;
    private static final double RESPONSE_MEMORY_SHARE = 0.08;
    private static final int BYTES_PER_MB = 1 << 20;

    /** Divides the limits of a configuration, less the descriptors that an extension uses. */
    static ResourceLimits of(Configuration configuration, HostSettings host, int extensionDescriptors) {
        int free = configuration.sockets() - RESERVED_DESCRIPTORS - extensionDescriptors;
        int descriptors = Math.max(MIN_DESCRIPTORS, free);
        int workers = (int) (descriptors * WORKER_DESCRIPTOR_SHARE);
        int allClients = descriptors - workers;
        int spareClients = (int) (allClients * SPARE_CLIENT_SHARE);
        int clients = allClients - spareClients;
        return new ResourceLimits(workers, clients, spareClients, Math.min(host.maxConnections(), clients),
                memoryShare(configuration, IN_FLIGHT_MEMORY_SHARE),
                memoryShare(configuration, RECEIVING_MEMORY_SHARE),
                memoryShare(configuration, RESPONSE_MEMORY_SHARE));
    }

    private static long memoryShare(Configuration configuration, double share) {
        return (long) (configuration.memoryMb() * share * BYTES_PER_MB);
    }
}
