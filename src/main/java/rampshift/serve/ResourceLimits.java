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
 * @param responseBytes maximum memory of responses that workers have not completed, and of those that clients
 *     have not read, in bytes
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

    private static final int BYTES_PER_MB = 1 << 20;
    /** Number of purposes that get the same share of the memory for peers. */
    private static final int PURPOSES = 3;
    /** Maximum share of the memory of the process for one purpose. */
    private static final double MAX_MEMORY_SHARE = 0.08;
    /** Share of the heap that may be in use: the rest is needed by the garbage collector and for copies. */
    private static final double USABLE_HEAP_SHARE = 0.75;
    /** Heap that an idle dispatcher uses. */
    private static final long IDLE_HEAP_BYTES = 6L * BYTES_PER_MB;
    /** Heap for the objects of one connection, without the bytes that its peer makes it hold. */
    private static final long HEAP_BYTES_PER_DESCRIPTOR = 3 * 1024;
    /** Minimum memory for one purpose: that of a request of maximum size. */
    private static final long MIN_BYTES_PER_PURPOSE = 256 * 1024;

    /**
     * Divides the limits of a configuration, less the descriptors that an extension uses.
     *
     * @param heapBytes the maximum size of the heap
     */
    static ResourceLimits of(Configuration configuration, HostSettings host, int extensionDescriptors,
            long heapBytes) {
        int free = configuration.sockets() - RESERVED_DESCRIPTORS - extensionDescriptors;
        int descriptors = Math.max(MIN_DESCRIPTORS, free);
        int workers = (int) (descriptors * WORKER_DESCRIPTOR_SHARE);
        int allClients = descriptors - workers;
        int spareClients = (int) (allClients * SPARE_CLIENT_SHARE);
        int clients = allClients - spareClients;
        long bytes = bytesPerPurpose(configuration.memoryMb(), descriptors, heapBytes);
        return new ResourceLimits(workers, clients, spareClients, Math.min(host.maxConnections(), clients),
                bytes, bytes, bytes);
    }

    /** Returns how much of the heap peers may take up for one purpose. */
    private static long bytesPerPurpose(double memoryMb, int descriptors, long heapBytes) {
        long peerBytes = (long) (heapBytes * USABLE_HEAP_SHARE) - IDLE_HEAP_BYTES
                - descriptors * HEAP_BYTES_PER_DESCRIPTOR;
        long share = Math.max(MIN_BYTES_PER_PURPOSE, peerBytes / PURPOSES);
        return Math.min(share, (long) (memoryMb * MAX_MEMORY_SHARE * BYTES_PER_MB));
    }
}
