package rampshift.testbed.experiment;

import java.nio.file.Path;
import rampshift.testbed.plan.FleetPlan;

/**
 * The parameters of a run.
 *
 * @param plan the plan with the settings of the arm
 * @param planFile the fleet file, which the processes of the run read again
 * @param arm the name of the arm; null for the file without any arm
 * @param seed the seed of all random streams of the run
 * @param folder where the run's files are written
 */
record RunSpec(FleetPlan plan, Path planFile, String arm, long seed, RunFolder folder) {}
