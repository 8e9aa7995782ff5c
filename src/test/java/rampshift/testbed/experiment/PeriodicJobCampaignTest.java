package rampshift.testbed.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.testbed.experiment.FiveDispatcherFleet.names;
import static rampshift.testbed.experiment.FiveDispatcherFleet.trouble;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rampshift.extensions.OperatorCommands;
import rampshift.testbed.verification.Verdict;

/**
 * Five real dispatchers, three or five of which keep leases; a duty each of two kinds; faults; and the judge.
 */
class PeriodicJobCampaignTest {
    @TempDir
    private Path folder;

    /** First: of the five dispatchers, those on site one. */
    private RunOutcome play(int seconds, int first, int objects, String leases, String troubles)
            throws Exception {
        String duty = "[[duty]]\nname = \"%s\"\ntype = \"%s\"\nevery = \"2s\"\nobjects = " + objects
                + "\nrate = 50\n";
        return new FiveDispatcherFleet(folder).play(seconds, first, 20, "10ms",
                FiveDispatcherFleet.sale("10ms") + duty.formatted("stock", "look")
                        + duty.formatted("cash", "sale") + "[leases]\nterm = \"1s\"\n" + leases + "\n"
                        + troubles);
    }

    private static String inTurn(String what, double every, double length) {
        StringBuilder all = new StringBuilder();
        for (int d = 1; d <= 5; d++) {
            all.append(trouble(what, names("d" + d), every * d, length));
        }
        return all.toString();
    }

    /** What is done under leases; the other rules are asked for in TogetherTest. */
    private static void kept(RunOutcome o) {
        for (Verdict.Rule rule : o.verdict.rules()) {
            if (rule.name().contains("token") || rule.name().startsWith("a duty")) {
                assertEquals(0, rule.broken(), rule.name() + ": " + rule.examples());
                assertTrue(rule.atStake() > 0, rule.name());
            }
        }
    }

    private List<String> told(String what) throws IOException {
        return new FiveDispatcherFleet(folder).told("leases", what);
    }

    /**
     * Each in turn for longer than the term, then all keepers at once over lossy ways, with what their disks
     * have.
     */
    @Test
    void whoeverHoldsItStandsStillAndAllKeepersAreKilled() throws Exception {
        CompletableFuture<String> page = CompletableFuture.supplyAsync(this::asked);
        RunOutcome o = play(18, 3, 60, "",
                inTurn("dispatcher-stopped", 2, 1.8)
                        + trouble("way-lossy", names("*=*") + "\nrate = 0.2", 1, 15)
                        + trouble("dispatcher-killed", names("d1", "d2", "d3"), 13, 1));
        kept(o);
        assertTrue(o.verdict.leaseEffects().takeovers() >= 2, o.verdict.leaseEffects().toString());
        assertTrue(o.verdict.leaseEffects().once() > 200, o.verdict.leaseEffects().toString());
        assertTrue(told("lapsed").size() >= 1, "and it says so when it goes on");
        assertTrue(told("duty-over").size() >= 4, "runs come to their end");
        assertTrue(page.get().matches(
                "(?s)keepers 1 d1:\\S+,d2:\\S+,d3:\\S+.*  stock +d\\d +token \\d+, version \\d+, stands here for .*"
                        + "  stock +run \\d+ .* of 60 settled.*"),
                page.get());
    }

    /** The page of leases and duties as d5's operator sees it, once somebody holds what there is. */
    private String asked() {
        String file = folder.resolve("run/d5.toml").toString();
        for (int i = 0; i < 300; i++) {
            try {
                Thread.sleep(100);
                String leases = OperatorCommands.leases(file, new String[0]);
                if (leases.matches("(?s).*  stock +d\\d .*")) {
                    return leases + OperatorCommands.duties(file);
                }
            } catch (java.io.IOException | RuntimeException e) {
                // Not up yet, or stopped.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return "nothing";
    }
}
