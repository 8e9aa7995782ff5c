package rampshift.fleet.trial;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import rampshift.fleet.plan.Plan;

/** Placeholder until the arms are there. */
final class Experiment {
    Experiment(Path file, Plan plan, Path folder, PrintStream out) {
    }

    int run() throws IOException, InterruptedException {
        return 1;
    }
}
