package rampshift.testbed.experiment;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.verification.RuleChecker;
import rampshift.testbed.verification.Verdict;

/** Verifies by the event logs of a run whether its rules held. */
final class RunVerification {
    /** How much longer than the limits of the simulator those on sockets are. */
    private static final long SLACK_US = 50_000;

    private RunVerification() {}

    /** Verifies all event logs of a folder. */
    static Verdict verify(FleetPlan plan, RunFolder folder) throws IOException {
        RuleChecker checker =
                new RuleChecker(plan.discovery().grace().micros(), SLACK_US,
                        plan.members().detectionLimit().micros(),
                        plan.members().agreementLimit().micros());
        for (Path eventLog : folder.eventLogs()) {
            readLines(eventLog, checker);
        }
        return checker.verdict();
    }

    private static void readLines(Path eventLog, RuleChecker checker) throws IOException {
        try (BufferedReader reader = Files.newBufferedReader(eventLog)) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                checker.line(line);
            }
        }
    }
}
