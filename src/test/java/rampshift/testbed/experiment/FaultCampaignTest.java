package rampshift.testbed.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.testbed.experiment.FiveDispatcherFleet.names;
import static rampshift.testbed.experiment.FiveDispatcherFleet.trouble;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rampshift.testbed.verification.Verdict;

/** Five real dispatchers that know each other, faults between them, and the judge. */
class FaultCampaignTest {
    @TempDir
    private Path folder;

    private RunOutcome play(int seconds, String troubles) throws Exception {
        return new FiveDispatcherFleet(folder).play(seconds, 3, 40, "20ms", troubles);
    }

    private static void kept(RunOutcome o) {
        for (Verdict.Rule rule : o.verdict.rules()) {
            assertEquals(0, rule.broken(), rule.name() + ": " + rule.examples());
        }
    }

    private static long stake(RunOutcome o, String rule) {
        return o.verdict.rules().stream().filter(r -> r.name().equals(rule)).findFirst().orElseThrow()
                .atStake();
    }

    /** Up to the end of the load, after which all end in order. */
    private List<String> told(String by, String what) throws IOException {
        long finish = Files.readAllLines(folder.resolve("run/trial.ledger")).stream()
                .filter(l -> l.endsWith(" finish"))
                .mapToLong(l -> Long.parseLong(l.split(" ")[0])).findFirst().orElseThrow();
        return new FiveDispatcherFleet(folder).told("members", what).stream()
                .filter(line -> Long.parseLong(line.split(" ")[0]) < finish
                        && (by.isEmpty() || line.split(" ")[2].equals(by)))
                .toList();
    }

    /**
     * d1 does not reach d2 at all; d5 hears nothing from its list service, d4 only old news: both from the
     * others.
     */
    @Test
    void oneWayLostMakesNobodyFailAndADrainIsHeardOfFromTheOthers() throws Exception {
        RunOutcome o = play(8, trouble("way-cut", names("d1>d2"), 0.1, 7.8)
                + trouble("roster-silent", names("d5"), 1, 6.9)
                + trouble("roster-old", names("d4") + "\ndelay = \"4s\"", 1, 6.9)
                + trouble("drain", names("one-m-1"), 2, 10));
        kept(o);
        assertEquals(List.of(), told("", "failed"));
        List<String> bound = told("", "bound");
        assertEquals(List.of("d4", "d5"), bound.stream().map(l -> l.split(" ")[2])
                .filter(d -> d.compareTo("d3") > 0).sorted().toList());
        assertEquals(List.of(), bound.stream().filter(l -> !l.contains(" one-m-1 ")).toList(),
                "no other worker");
        long after = told("d5", "bound").stream().mapToLong(l -> Long.parseLong(l.split(" ")[0])).max()
                .orElseThrow()
                - Files.readAllLines(folder.resolve("run/fleet.ledger")).stream()
                        .filter(l -> l.contains(" told ") && l.endsWith("draining"))
                        .mapToLong(l -> Long.parseLong(l.split(" ")[0])).min().orElseThrow();
        assertTrue(after < 250_000, "after the first was told: " + after / 1000 + " ms");
        assertTrue(stake(o, "drains kept") >= 5, "told to each, to two by their fellows");
    }

    /** It stands still for longer than it takes to be taken for failed. */
    @Test
    void oneThatIsStoppedRefutesAndSendsNothingLate() throws Exception {
        RunOutcome o = play(12, trouble("dispatcher-stopped", names("d4"), 1, 6));
        kept(o);
        assertTrue(told("", "failed").stream().filter(l -> l.contains(" failed d4 ")).count() >= 4);
        assertTrue(told("d4", "refuted").size() >= 1);
        assertEquals(1, told("d4", "stalled").stream()
                .filter(l -> Integer.parseInt(l.replaceAll(".* (\\d+)-ms$", "$1")) > 5000).count());
        assertTrue(stake(o, "all agree after the last fault") == 20);
    }

    /** A tenth of a core for 5 s: it may be late itself, and talks nobody out of those who are well. */
    @Test
    void oneThatIsStarvedAccusesNobody() throws Exception {
        RunOutcome o = play(11, trouble("dispatcher-starved", names("d4") + "\nrate = 0.1", 1, 5));
        kept(o);
        assertEquals(List.of(), told("", "failed").stream().filter(l -> !l.contains(" failed d4 ")).toList());
        assertEquals(20, stake(o, "all agree after the last fault"));
    }

    @Test
    void threeOfFiveAreKilledAtOnceWhileALinkFlapsAndOneForGood() throws Exception {
        RunOutcome o = play(14, trouble("dispatcher-killed", names("d1", "d2", "d3"), 1, 0.8)
                + trouble("way-flapping", names("d4=d5") + "\ndelay = \"500ms\"", 0.5, 3)
                + trouble("dispatcher-killed", names("d2"), 8.5, 30));
        kept(o);
        assertEquals(4, stake(o, "failures known in time"));
        assertEquals(4, o.verdict.knownMs().size());
    }

    @Test
    void cutInTwoThenIntoSingleOnesThenAllRestartedOverLossyWaysAndOneAgainAfterwards() throws Exception {
        String rolling = "";
        for (int d = 1; d <= 5; d++) {
            rolling += trouble("dispatcher-ended", names("d" + d), 9.5 + 0.5 * d, 2.5);
        }
        RunOutcome o = play(20,
                trouble("way-cut", "site = \"two\"", 0.5, 5) + trouble("way-cut", names("*=*"), 5.6, 3.8)
                        + trouble("way-lossy", names("*=*") + "\nrate = 0.3", 9.5, 4) + rolling);
        kept(o);
        assertTrue(told("d5", "standing").stream().anyMatch(l -> l.contains("MINOR")),
                "the smaller part knows that it is");
        assertTrue(told("d1", "standing").stream().anyMatch(l -> l.contains("MISSING")));
        for (String pair : List.of("d1 d4", "d1 d5", "d5 d1", "d5 d2", "d5 d3")) {
            assertTrue(
                    told(pair.substring(0, 2), "failed").stream()
                            .anyMatch(l -> l.contains(" failed " + pair.substring(3) + " ")),
                    pair + ": whom it was cut off from");
        }
        assertTrue(told("d3", "standing").stream().anyMatch(l -> l.contains("ALONE-1/5")),
                "cut off from all");
        assertEquals(20, stake(o, "all agree after the last fault"));
    }
}
