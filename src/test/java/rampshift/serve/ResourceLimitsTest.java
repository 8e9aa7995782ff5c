package rampshift.serve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rampshift.TestPeers;
import rampshift.settings.Configuration;

/** What peers may make a dispatcher hold fits the memory that deploy/serve.sh gives it. */
class ResourceLimitsTest {
    private static final int BYTES_PER_MB = 1 << 20;
    /** Heap of an idle dispatcher, and of the objects of a connection, as docs/design.md states them. */
    private static final long IDLE_BYTES = 6L * BYTES_PER_MB;
    private static final long BYTES_PER_CONNECTION = 3 * 1024;
    /** The longest request and the longest line of a response. */
    private static final int LONGEST_MESSAGE_BYTES = 144 * 1024;
    /** Direct buffers of the I/O thread itself. */
    private static final int OWN_DIRECT_BYTES = 512 * 1024;

    private static ResourceLimits limits(int memoryMb, int sockets, long heapBytes) throws Exception {
        String limits = "{\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "}";
        Configuration configuration = Configuration.read(
                TestPeers.configuration(null, TestPeers.list(true), limits).getBytes(StandardCharsets.UTF_8));
        return ResourceLimits.of(configuration, configuration.settings().hostSettings(), 0, heapBytes);
    }

    @ParameterizedTest
    @CsvSource({"40,256,18,5", "40,1024,18,5", "48,1024,21,6", "64,256,28,8", "64,1024,28,8", "96,1024,43,12",
            "128,1024,57,16", "192,256,86,24", "192,1024,86,24", "2048,4096,512,256", "8192,4096,512,1024"})
    void allThatPeersMayHoldFitsTheHeapAndTheDirectMemory(int memoryMb, int sockets, int heapMb, int directMb)
            throws Exception {
        long heapBytes = (long) heapMb * BYTES_PER_MB;
        ResourceLimits limits = limits(memoryMb, sockets, heapBytes);
        int clients = limits.clientConnections() + limits.spareClientConnections();
        long held = IDLE_BYTES + (clients + limits.workerConnections()) * BYTES_PER_CONNECTION
                + limits.inFlightBytes() + limits.receivingBytes() + limits.responseBytes();
        assertTrue(held <= heapBytes * 3 / 4, held + " bytes");
        long direct = (long) clients * DispatcherServer.BUFFER_BYTES + OWN_DIRECT_BYTES;
        assertTrue(direct <= (long) directMb * BYTES_PER_MB, direct + " bytes of direct memory");
    }

    @Test
    void aMessageOfMaximumSizeFitsHoweverSmallTheHeapIs() throws Exception {
        ResourceLimits limits = limits(40, 1024, 12L * BYTES_PER_MB);
        assertTrue(limits.receivingBytes() >= LONGEST_MESSAGE_BYTES);
        assertTrue(limits.responseBytes() >= LONGEST_MESSAGE_BYTES);
    }
}
