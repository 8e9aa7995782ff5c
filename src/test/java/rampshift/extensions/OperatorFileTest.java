package rampshift.extensions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import rampshift.membership.host.MembershipSettings;
import rampshift.settings.ConfigurationException;
import rampshift.settings.ConfigurationFault;
import rampshift.settings.SourcePosition;

class OperatorFileTest {
    private static final String MEMBERS = """
            [members]
            fleet = "f"
            listen = "127.0.0.1:7946"
            """;

    @Test
    void theSampleIsValidAndContainsTheDefaults() {
        MembershipSettings sample = OperatorFile.read(Path.of("deploy/operator.toml")).membership();
        MembershipSettings minimal = OperatorFile
                .read("f", "[members]\nfleet = \"valle\"\nlisten = \"127.0.0.1:7946\"\n").membership();
        assertEquals(minimal.timings(), sample.timings());
        assertEquals(minimal.drainNoticeLifetime(), sample.drainNoticeLifetime());
        assertTrue(sample.acceptDrainNotices() && minimal.acceptDrainNotices());
        assertNull(OperatorFile.read("f", "").membership(), "a missing section is disabled");
    }

    @Test
    void aPeriodicJobAddsALeaseWithItsName() {
        OperatorFile file = OperatorFile.read("f", MEMBERS + """
                [leases]
                keepers = ["d1", "d2", "d3"]
                names = ["archive"]
                term = "5s"
                [[duty]]
                name = "sweep"
                type = "rederive"
                objects = 7
                """);
        assertEquals(List.of("archive", "sweep"), file.leases().leases());
        assertEquals(5000, file.leases().timings().term().millis());
        assertEquals(7, file.periodicJobs().get(0).objects().size());
        ConfigurationException error =
                assertThrows(ConfigurationException.class, () -> OperatorFile.read("op.toml", MEMBERS + """
                        [leases]
                        keepers = ["d1", "d2"]
                        names = ["a,b"]
                        drift = 0.5
                        """));
        assertErrors(error,
                "op.toml:5: leases.keepers names 2, expected 1, 3, 5 or 7,"
                        + " of which a majority must be reachable",
                "op.toml:6: leases.names holds \"a,b\", expected names of 1 to 40 printable"
                        + " ASCII characters, no blanks or ,:|#",
                "op.toml:7: leases.drift is 0.5, expected a number from 0 to 0.3");
    }

    @Test
    void allErrorsAreReportedAtOnceWithTheirLines() {
        ConfigurationException error =
                assertThrows(ConfigurationException.class, () -> OperatorFile.read("op.toml", """
                        [members]
                        fleet = "two words"
                        listen = "0.0.0.0:7946"
                        seeds = ["127.0.0.1:7946", "nowhere"]
                        period = "5ms"
                        forgett = "1min"
                        [[members.reach]]
                        name = "d2"
                        address = "127.0.0.1:99999"
                        [durable]
                        """));
        assertErrors(error,
                "op.toml:3: members.listen is a wildcard,"
                        + " expected the address used by other members",
                "op.toml:2: members.fleet is \"two words\","
                        + " expected a name of letters, digits, '-', '_' and '.'",
                "op.toml:5: members.period is under 20 ms",
                "op.toml:4: members.seeds is \"nowhere\", expected an address with a port",
                "op.toml:9: members.reach[0].address is \"127.0.0.1:99999\","
                        + " expected an address with a port",
                "op.toml:6: members.forgett is not known; the nearest key here is forget",
                "op.toml:10: durable is not known; the nearest key here is duty");
        assertEquals(7, error.faults().size());
        assertEquals(new ConfigurationFault(SourcePosition.ofLine("op.toml", 3), "members.listen",
                "members.listen is a wildcard, expected the address used by other members"),
                error.faults().get(0));
    }

    private static void assertErrors(ConfigurationException error, String... lines) {
        assertEquals(List.of(lines), error.getMessage().lines().toList());
    }
}
