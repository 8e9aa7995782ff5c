package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Slow start over a fleet of dispatchers that share no state: together they must not send a cold worker more
 * than the allowed number of tasks in a window. Each instance of the policy is limited by its own credit. The
 * simulated fleet shows that the credits of many instances, in a burst or saved up, don't exceed the bound of
 * {@link SimulatedWorker}. docs/design.md has the results of six seeds.
 */
class SlowStartFleetTest {
    private static final int SEEDS = Integer.getInteger("cold.seeds", 2);
    private static final long SEEDS_PER_RUN = 1000;
    private static final double MEAN_RUN_MILLIS = 50;
    private static final double RUNS_BEFORE_RESTART = 40;
    private static final double WINDOWS_AFTER_BURST = 2;

    /**
     * The traffic of one run. After some time the first workers are restarted cold, all at once.
     *
     * @param firstShare the share of the traffic that goes to the first dispatcher; the rest is spread evenly
     * @param load the traffic before the burst, as a share of the capacity of the warm fleet
     * @param burst the traffic of the burst, as a multiple of that before it
     * @param burstDelayMillis the time between the restart and the beginning of the burst
     */
    private record Scenario(
            int dispatchers,
            int workers,
            int coldWorkers,
            double firstShare,
            double load,
            double burst,
            double burstDelayMillis) {
    }

    /** A third of the fleet restarts cold at once, and the traffic rises by half at the same time. */
    @ParameterizedTest
    @CsvSource({"3, 12, 0.7, 0", "20, 12, 0.6, 0", "30, 12, 0.7, 0.7", "120, 30, 0.8, 0"})
    void allDispatchersTogetherKeepToTheBoundOfEachColdWorker(int dispatchers, int workers, double load,
            double firstShare) {
        Scenario scenario = new Scenario(dispatchers, workers, workers / 3, firstShare, load, 1.5, 0);
        double worst = worstRatio(scenario, MEAN_RUN_MILLIS);
        assertTrue(worst <= 1, "a cold worker was sent " + worst + " times the bound");
    }

    /**
     * Little traffic while one worker is cold lets every dispatcher save up its credit for that worker; the
     * traffic that follows exceeds the capacity of the fleet.
     */
    @ParameterizedTest
    @CsvSource({"120, 50, 3000", "120, 400, 6000", "30, 400, 6000"})
    void savedUpCreditsDoNotOverloadTheOnlyColdWorker(int dispatchers,
            double meanRunMillis, double burstDelayMillis) {
        Scenario scenario = new Scenario(dispatchers, 12, 1, 0, 0.2, 6, burstDelayMillis);
        double worst = worstRatio(scenario, meanRunMillis);
        assertTrue(worst <= 1, "it was sent " + worst + " times the bound");
    }

    /**
     * Returns the largest ratio of tasks sent to a cold worker to its bound, over all cold workers and seeds.
     */
    private static double worstRatio(Scenario scenario, double meanRunMillis) {
        FleetSimulation simulation = new FleetSimulation(meanRunMillis);
        double worst = 0;
        long sentToCold = 0;
        long tasks = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            simulation.restart(seed, scenario.workers());
            List<SimulatedDispatcher> dispatchers = startDispatchers(simulation, scenario, seed);
            run(simulation, scenario, dispatchers);
            for (SimulatedWorker worker : simulation.workers.subList(0, scenario.coldWorkers())) {
                worst = Math.max(worst, worker.worstRatio());
                sentToCold += worker.sentInLastWindow();
            }
            tasks += dispatchers.stream().mapToLong(SimulatedDispatcher::taskCount).sum();
        }
        System.out.println(scenario + ", runs of " + meanRunMillis + " ms: worst " + worst + ", last window "
                + sentToCold + " of " + tasks);
        return worst;
    }

    private static List<SimulatedDispatcher> startDispatchers(FleetSimulation simulation, Scenario scenario,
            int seed) {
        List<SimulatedDispatcher> dispatchers = new ArrayList<>();
        for (int i = 0; i < scenario.dispatchers(); i++) {
            dispatchers.add(new SimulatedDispatcher(simulation, seed * SEEDS_PER_RUN + i));
        }
        return dispatchers;
    }

    private static void run(FleetSimulation simulation, Scenario scenario,
            List<SimulatedDispatcher> dispatchers) {
        double restartAt = simulation.now() + RUNS_BEFORE_RESTART * simulation.meanRunMillis;
        double burstAt = restartAt + scenario.burstDelayMillis();
        double end = burstAt + WINDOWS_AFTER_BURST * SimulatedWorker.WINDOW_MILLIS;
        scheduleTasks(simulation, scenario, dispatchers, burstAt, end);
        simulation.at(restartAt, () -> restartCold(simulation, scenario.coldWorkers(), dispatchers));
        simulation.runUntil(end);
    }

    /** Schedules arrivals of tasks with exponentially distributed times between them. */
    private static void scheduleTasks(FleetSimulation simulation, Scenario scenario,
            List<SimulatedDispatcher> dispatchers, double burstAt, double end) {
        double tasksPerMilli =
                scenario.load() * scenario.workers() * SimulatedWorker.SLOTS / simulation.meanRunMillis;
        double at = simulation.now();
        while (at < end) {
            double rate = tasksPerMilli * (at > burstAt ? scenario.burst() : 1);
            at += -Math.log(1 - simulation.random.nextDouble()) / rate;
            boolean toFirst = simulation.random.nextDouble() < scenario.firstShare();
            int index = toFirst ? 0 : simulation.random.nextInt(dispatchers.size());
            simulation.at(at, dispatchers.get(index)::receiveTask);
        }
    }

    /** Restarts the first workers cold, and sends all dispatchers the new list. */
    private static void restartCold(FleetSimulation simulation, int count,
            List<SimulatedDispatcher> dispatchers) {
        for (int i = 0; i < count; i++) {
            simulation.workers.set(i, SimulatedWorker.cold(simulation, i + 1));
        }
        List<SimulatedWorker> restarted = List.copyOf(simulation.workers.subList(0, count));
        for (SimulatedDispatcher dispatcher : dispatchers) {
            dispatcher.receiveList(EndpointListKind.DELTA, restarted);
        }
    }
}
