package rampshift;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rampshift.discovery.EndpointListParser;
import rampshift.extensions.OperatorFile;
import rampshift.settings.Configuration;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.plan.FleetPlanReader;

/** Tests that unchanged copies of files of version 0f49a4a are still read with the same meaning. */
class FileCompatibilityTest {
    private static final Path FILES = Path.of("src/test/resources/rampshift/compatibility");

    @Test
    void readsTheShippedOperatorFile() {
        OperatorFile file = OperatorFile.read(FILES.resolve("operator.toml"));
        assertEquals("valle", file.membership().fleet());
        assertEquals(new InetSocketAddress("127.0.0.1", 7946), file.membership().listen());
        assertEquals(List.of("127.0.0.1:7947"), file.membership().seeds());
        assertNull(file.leases(), "the section is commented out");
        assertEquals(List.of(), file.periodicJobs());
    }

    @Test
    void readsAnOperatorFileWithLeasesAndPeriodicJobs() {
        OperatorFile file = OperatorFile.read(FILES.resolve("operator-leases.toml"));
        assertEquals(2, file.membership().seeds().size());
        assertEquals(4, file.membership().addressOverrides().size());
        assertEquals(List.of("sweep", "charge"), file.leases().leases());
        assertEquals(1000, file.leases().timings().term().millis());
        assertEquals(Path.of("/var/lib/rampshift/keeper-d1"), file.leases().directory());
        assertEquals(60, file.periodicJobs().get(1).objects().size());
        assertEquals(2000, file.periodicJobs().get(1).interval().millis());
    }

    @Test
    void readsAConfigurationWithItsEndpointList() {
        Configuration configuration =
                Configuration.read(Map.of("NODE_CONFIG", FILES.resolve("configuration.json").toString()));
        assertEquals("d1", configuration.name());
        assertEquals(45217, configuration.listen().getPort());
        assertEquals(1000, configuration.seed());
        assertEquals(192, configuration.memoryMb());
        assertEquals(1024, configuration.sockets());
        assertEquals(List.of("one", "two"), configuration.settings().hostSettings().zones());
        assertTrue(configuration.settings().read(configuration.seed()).reportsStart);
        byte[] known = configuration.knownEndpoints();
        assertEquals(8, EndpointListParser.parse(known, known.length).endpoints().size());
        assertArrayEquals("{\"rev\":1,".getBytes(StandardCharsets.UTF_8), Arrays.copyOf(known, 9));
    }

    /** The numbers of dispatchers and workers are those of version 0f49a4a. */
    @ParameterizedTest
    @CsvSource(textBlock = """
            alike, 2, 8
            connections, 1, 16
            drain, 4, 6
            duties, 5, 8
            failing, 4, 12
            idle, 1, 4
            ladder, 1, 16
            operators-size, 120, 6
            profile, 1, 16
            rungs, 1, 16
            together, 5, 12
            try, 2, 12
            """)
    void readsTheShippedFleetFiles(String name, int dispatchers, int workers) {
        FleetPlan plan = FleetPlanReader.read(FILES.resolve("fleets/" + name + ".toml"));
        assertEquals(dispatchers, plan.dispatcherCount());
        assertEquals(workers, plan.workerCount());
    }
}
