package rampshift.testbed.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.testbed.experiment.FiveDispatcherFleet.fault;
import static rampshift.testbed.experiment.FiveDispatcherFleet.names;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rampshift.testbed.verification.Verdict;

/** Verified runs of five real dispatchers with membership, with faults of the dispatchers and their links. */
class FaultCampaignTest {
    private static final String AGREEMENT_RULE = "all agree after the last fault";
    /** The number of ordered pairs of five dispatchers: each observes each of the four others. */
    private static final long ORDERED_PAIRS = 20;
    private static final long MAX_DRAIN_NOTICE_MICROS = 250_000;

    @TempDir
    private Path folder;
    private FiveDispatcherFleet fleet;

    @BeforeEach
    void createFleet() {
        fleet = new FiveDispatcherFleet(folder);
    }

    private RunOutcome run(int seconds, String faults) throws Exception {
        return fleet.run(seconds, 3, 40, "20ms", faults);
    }

    private static void assertRulesKept(RunOutcome outcome) {
        for (Verdict.Rule rule : outcome.verdict().rules()) {
            assertEquals(0, rule.breaches(), rule.name() + ": " + rule.examples());
        }
    }

    /** Returns how often a rule applied. */
    private static long applied(RunOutcome outcome, String rule) {
        return outcome.verdict().rules().stream().filter(each -> each.name().equals(rule)).findFirst()
                .orElseThrow().cases();
    }

    /** Returns the events of a kind in all logs before the end of the load, when all dispatchers stop. */
    private List<EventLine> events(String event) throws IOException {
        long loadEnd = Files.readAllLines(fleet.runFolder().runEventLog()).stream()
                .filter(line -> line.endsWith(" finish")).mapToLong(FaultCampaignTest::micros).findFirst()
                .orElseThrow();
        return fleet.membershipEvents(event).stream().filter(line -> line.micros() < loadEnd).toList();
    }

    /** Returns the events of a kind in the log of one dispatcher. */
    private List<EventLine> events(String dispatcher, String event) throws IOException {
        return events(event).stream().filter(line -> line.dispatcher().equals(dispatcher)).toList();
    }

    private static long micros(String line) {
        return Long.parseLong(line.split(" ")[0]);
    }

    private static List<EventLine> without(List<EventLine> events, Predicate<EventLine> excluded) {
        return events.stream().filter(excluded.negate()).toList();
    }

    /**
     * d1 never reaches d2. d5 gets no endpoint lists and d4 only old ones, so both must learn of the drain
     * from other dispatchers.
     */
    @Test
    void oneWayLinkLossCausesNoFailureAndDrainIsLearnedFromOthers() throws Exception {
        RunOutcome outcome = run(8, fault("way-cut", names("d1>d2"), 0.1, 7.8)
                + fault("roster-silent", names("d5"), 1, 6.9)
                + fault("roster-old", names("d4") + "\ndelay = \"4s\"", 1, 6.9)
                + fault("drain", names("one-m-1"), 2, 10));
        assertRulesKept(outcome);
        assertEquals(List.of(), events("failed"));
        List<EventLine> bound = events("bound");
        assertEquals(List.of("d4", "d5"), bound.stream().map(EventLine::dispatcher)
                .filter(dispatcher -> dispatcher.compareTo("d3") > 0).sorted().toList());
        assertEquals(List.of(), without(bound, line -> line.contains(" one-m-1 ")), "no other worker");
        long lastNotice = events("d5", "bound").stream().mapToLong(EventLine::micros).max().orElseThrow();
        long firstNotice = Files.readAllLines(fleet.runFolder().fleetEventLog()).stream()
                .filter(line -> line.contains(" told ") && line.endsWith("draining"))
                .mapToLong(FaultCampaignTest::micros).min().orElseThrow();
        long delay = lastNotice - firstNotice;
        assertTrue(delay < MAX_DRAIN_NOTICE_MICROS, "after the first drain notice: " + delay / 1000 + " ms");
        assertTrue(applied(outcome, "drains kept") >= 5, "all are notified, two by other dispatchers");
    }

    /** d4 is suspended for longer than the others need to declare it failed. */
    @Test
    void suspendedDispatcherRefutesItsFailureAndSendsNothingLate() throws Exception {
        RunOutcome outcome = run(12, fault("dispatcher-stopped", names("d4"), 1, 6));
        assertRulesKept(outcome);
        assertTrue(events("failed").stream().filter(line -> line.contains(" failed d4 ")).count() >= 4);
        assertTrue(events("d4", "refuted").size() >= 1);
        assertEquals(1, events("d4", "stalled").stream().filter(line -> stallMs(line) > 5000).count());
        assertTrue(applied(outcome, AGREEMENT_RULE) == ORDERED_PAIRS);
    }

    private static int stallMs(EventLine line) {
        return Integer.parseInt(line.text().replaceAll(".* (\\d+)-ms$", "$1"));
    }

    /** d4 has a tenth of a core for 5 s. It may be declared failed, but must not cause others to be. */
    @Test
    void throttledDispatcherCausesNoFailureOfOthers() throws Exception {
        RunOutcome outcome = run(11, fault("dispatcher-starved", names("d4") + "\nrate = 0.1", 1, 5));
        assertRulesKept(outcome);
        assertEquals(List.of(), without(events("failed"), line -> line.contains(" failed d4 ")));
        assertEquals(ORDERED_PAIRS, applied(outcome, AGREEMENT_RULE));
    }

    @Test
    void threeOfFiveKilledAtOnceWhileLinkFlapsAndOneKilledForGood() throws Exception {
        RunOutcome outcome = run(14, fault("dispatcher-killed", names("d1", "d2", "d3"), 1, 0.8)
                + fault("way-flapping", names("d4=d5") + "\ndelay = \"500ms\"", 0.5, 3)
                + fault("dispatcher-killed", names("d2"), 8.5, 30));
        assertRulesKept(outcome);
        assertEquals(4, applied(outcome, "failures known in time"));
        assertEquals(4, outcome.verdict().detectionMs().size());
    }

    @Test
    void partitionsThenRollingRestartOverLossyLinks() throws Exception {
        StringBuilder rollingRestart = new StringBuilder();
        for (int d = 1; d <= 5; d++) {
            rollingRestart.append(fault("dispatcher-ended", names("d" + d), 9.5 + 0.5 * d, 2.5));
        }
        RunOutcome outcome = run(20,
                fault("way-cut", "site = \"two\"", 0.5, 5) + fault("way-cut", names("*=*"), 5.6, 3.8)
                        + fault("way-lossy", names("*=*") + "\nrate = 0.3", 9.5, 4) + rollingRestart);
        assertRulesKept(outcome);
        assertTrue(events("d5", "standing").stream().anyMatch(line -> line.contains("MINOR")),
                "the minority partition detects that it is one");
        assertTrue(events("d1", "standing").stream().anyMatch(line -> line.contains("MISSING")));
        for (String pair : List.of("d1 d4", "d1 d5", "d5 d1", "d5 d2", "d5 d3")) {
            String dispatcher = pair.substring(0, 2);
            String other = pair.substring(3);
            assertTrue(events(dispatcher, "failed").stream()
                    .anyMatch(line -> line.contains(" failed " + other + " ")),
                    pair + ": the second is unreachable for the first");
        }
        assertTrue(events("d3", "standing").stream().anyMatch(line -> line.contains("ALONE-1/5")),
                "cut off from all");
        assertEquals(ORDERED_PAIRS, applied(outcome, AGREEMENT_RULE));
    }
}
