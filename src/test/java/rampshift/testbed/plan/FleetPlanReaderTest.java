package rampshift.testbed.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rampshift.settings.ConfigurationException;
import rampshift.time.Span;

/** Reads valid fleet files and checks the messages for invalid ones. */
class FleetPlanReaderTest {
    private static final String VALID = """
            length = "3s"
            [[machine]]
            name = "m"
            slots = 2
            [[site]]
            name = "a"
            workers = [{ machine = "m", count = 3 }]
            [[type]]
            name = "look"
            due = "100ms"
            [arrivals]
            rate = 50
            [[trouble]]
            what = "slow"
            share = 0.5
            [[arm]]
            name = "fast"
            set = { "arrivals.rate" = 200, "type[0].work" = "10ms", "workers.in_order" = false }
            [[arm]]
            name = "lost"
            set = { "length.x" = 1 }
            """;

    private static String messageOn(String text) {
        return assertThrows(ConfigurationException.class, () -> FleetPlanReader.read("f.toml", text, null))
                .getMessage();
    }

    @Test
    void validFileIsReadAndArmReplacesTheValuesThatItSets() {
        FleetPlan plan = FleetPlanReader.read("f.toml", VALID, null);
        assertEquals(Span.ofMillis(3000), plan.length());
        assertEquals(3, plan.workerCount());
        assertEquals(50, plan.arrivals().rate());
        FleetPlan fast = FleetPlanReader.read("f.toml", VALID, "fast");
        assertEquals(200, fast.arrivals().rate());
        assertEquals(Span.ofMillis(10), fast.types().get(0).work());
        assertEquals(false, fast.workers().inOrder(), "an arm may set a value in a missing table");
        assertEquals("f.toml:21: arm[1].set.length.x is not a path in this file",
                assertThrows(ConfigurationException.class,
                        () -> FleetPlanReader.read("f.toml", VALID, "lost"))
                        .getMessage());
        assertEquals("f.toml:16: there is no arm \"none\"",
                assertThrows(ConfigurationException.class,
                        () -> FleetPlanReader.read("f.toml", VALID, "none"))
                        .getMessage());
    }

    /** Operators run up to 120 dispatchers; no limit of the test bed may be below 1,024. */
    @Test
    void siteMayHave1024Dispatchers() {
        FleetPlan plan = FleetPlanReader.read("f.toml",
                VALID.replace("name = \"a\"", "name = \"a\"\ndispatchers = 1024"), null);
        assertEquals(1024, plan.sites().get(0).dispatchers());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            rate = 50 | rate = -1 | f.toml:12: arrivals.rate is -1, expected a number from 0 to 1000000
            rate = 50 | raet = 50 | f.toml:12: arrivals.raet is not known; the nearest key here is rate
            due = "100ms" | due = "fast" | \
                f.toml:10: type[0].due is "fast", expected a span such as "250ms" or "1.5s"
            what = "slow" | what = "slaw" | f.toml:14: trouble[0].what is "slaw", expected one of slow, hang
            slots = 2 | slots = 2.5 | \
                f.toml:4: machine[0].slots is 2.5, expected a whole number from 1 to 10000
            machine = "m", c | machine = "n", c | \
                f.toml:7: site[0].workers[0].machine is "n", but no [[machine]] has that name
            count = 3 | cuont = 3 | \
                f.toml:7: site[0].workers[0].cuont is not known; the nearest key here is count
            name = "a" | name = "a"~dispatchers = 1025 | \
                f.toml:7: site[0].dispatchers is 1025, expected a whole number from 0 to 1024
            share = 0.5 | share = 0.5 x | f.toml:15:
            name = "look" | name = "a b" | f.toml:9: type[0].name is "a b", expected a name
            rate = 50 | [clients]~warm_up = "3s" | f.toml:1: length must be longer than clients.warm_up
            what = "slow" | what = "cut" | f.toml:13: trouble[0].site is missing; a cut needs one site
            """)
    void faultIsReportedWithItsLineAndTheExpectedValue(String original, String replacement, String expected) {
        String message = messageOn(VALID.replace(original, replacement.replace('~', '\n')));
        assertTrue(message.startsWith(expected), message);
    }

    @Test
    void allFaultsAreReportedAtOnce() {
        String message =
                messageOn(VALID.replace("rate = 50", "rate = \"x\"").replace("slots = 2", "slots = 0")
                        .replace("[[type]]", "[[typo]]"));
        assertEquals(4, message.lines().count(), message);
        assertTrue(message.contains("f.toml:8: typo is not known; the nearest key here is type"), message);
        assertTrue(message.contains("the file lacks at least one traffic type"), message);
    }

    @Test
    void bundledPlanIsValid() throws IOException {
        try (var in = FleetPlanReader.class.getResourceAsStream("/rampshift/testbed/try.toml")) {
            FleetPlan plan =
                    FleetPlanReader.read("try.toml", new String(in.readAllBytes(), StandardCharsets.UTF_8),
                            null);
            assertEquals(2, plan.dispatcherCount());
            assertEquals(3, plan.machines().size());
            assertEquals(3, plan.faults().size());
        }
    }
}
