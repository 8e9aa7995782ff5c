package rampshift.testbed.experiment;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.verification.RuleChecker;
import rampshift.testbed.verification.Verdict;

/** Verifies the rules of a run by its event logs. */
final class RunVerification {
    /** The microseconds by which time limits on real sockets exceed those in the simulator. */
    private static final long SOCKET_TOLERANCE_MICROS = 50_000;

    private RunVerification() {}

    /** Verifies a run by all event logs in its folder. */
    static Verdict verify(FleetPlan plan, RunFolder folder) throws IOException {
        RuleChecker checker =
                new RuleChecker(plan.discovery().grace().micros(), SOCKET_TOLERANCE_MICROS,
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
