package rampshift.testbed.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.testbed.experiment.FiveDispatcherFleet.fault;
import static rampshift.testbed.experiment.FiveDispatcherFleet.names;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rampshift.extensions.OperatorCommands;
import rampshift.testbed.verification.Verdict;

/**
 * Verified runs of five real dispatchers, three of which are acceptors of leases, with two periodic jobs and
 * faults.
 */
class PeriodicJobCampaignTest {
    private static final int STATUS_ATTEMPTS = 300;
    private static final long STATUS_INTERVAL_MS = 100;
    private static final String STATUS_PAGE =
            "(?s)keepers 1 d1:\\S+,d2:\\S+,d3:\\S+.*"
                    + "  stock +d\\d +token \\d+, version \\d+, stands here for .*"
                    + "  stock +run \\d+ .* of 60 settled.*";

    @TempDir
    private Path folder;
    private FiveDispatcherFleet fleet;

    @BeforeEach
    void createFleet() {
        fleet = new FiveDispatcherFleet(folder);
    }

    private RunOutcome run(int seconds, int objects, String faults) throws Exception {
        return fleet.run(seconds, 3, 20, "10ms",
                FiveDispatcherFleet.sale("10ms") + periodicJob("stock", "look", objects)
                        + periodicJob("cash", "sale", objects) + "[leases]\nterm = \"1s\"\n\n" + faults);
    }

    private static String periodicJob(String name, String type, int objects) {
        return """
                [[duty]]
                name = "%s"
                type = "%s"
                every = "2s"
                objects = %d
                rate = 50
                """.formatted(name, type, objects);
    }

    /** Returns the sections of a fault that affects one dispatcher after the other. */
    private static String faultOfEach(String kind, double intervalSeconds, double lengthSeconds) {
        StringBuilder faults = new StringBuilder();
        for (int d = 1; d <= 5; d++) {
            faults.append(fault(kind, names("d" + d), intervalSeconds * d, lengthSeconds));
        }
        return faults.toString();
    }

    /** Checks the rules of leases and periodic jobs; the others are checked in FaultCampaignTest. */
    private static void assertLeaseRulesKept(RunOutcome outcome) {
        for (Verdict.Rule rule : outcome.verdict().rules()) {
            if (rule.name().contains("token") || rule.name().startsWith("a duty")) {
                assertEquals(0, rule.breaches(), rule.name() + ": " + rule.examples());
                assertTrue(rule.cases() > 0, rule.name());
            }
        }
    }

    /**
     * Each dispatcher in turn is suspended for longer than the lease term. Then all acceptors are killed at
     * once, while links are lossy, and restart from the state on their disks.
     */
    @Test
    void leaseHoldersAreSuspendedAndAllAcceptorsKilled() throws Exception {
        CompletableFuture<String> page = CompletableFuture.supplyAsync(this::awaitStatusPage);
        RunOutcome outcome = run(18, 60,
                faultOfEach("dispatcher-stopped", 2, 1.8)
                        + fault("way-lossy", names("*=*") + "\nrate = 0.2", 1, 15)
                        + fault("dispatcher-killed", names("d1", "d2", "d3"), 13, 1));
        assertLeaseRulesKept(outcome);
        Verdict.LeaseEffects effects = outcome.verdict().leaseEffects();
        assertTrue(effects.takeovers() >= 2, effects.toString());
        assertTrue(effects.tasksAppliedOnce() > 200, effects.toString());
        assertTrue(fleet.leaseEvents("lapsed").size() >= 1, "a resumed holder logs the expiry");
        assertTrue(fleet.leaseEvents("duty-over").size() >= 4, "runs of the jobs are completed");
        assertTrue(page.get().matches(STATUS_PAGE), page.get());
    }

    /** Waits until a lease is held, and returns the status of leases and jobs as shown to d5's operator. */
    private String awaitStatusPage() {
        String file = fleet.runFolder().operatorFile(4).toString();
        for (int attempt = 0; attempt < STATUS_ATTEMPTS; attempt++) {
            try {
                Thread.sleep(STATUS_INTERVAL_MS);
                String leases = OperatorCommands.leases(file, new String[0]);
                if (leases.matches("(?s).*  stock +d\\d .*")) {
                    return leases + OperatorCommands.duties(file);
                }
            } catch (IOException | RuntimeException e) {
                // The dispatcher is not running yet, or is suspended.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return "nothing";
    }
}
