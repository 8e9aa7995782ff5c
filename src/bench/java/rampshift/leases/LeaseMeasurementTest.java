package rampshift.leases;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import rampshift.leases.LeaseSimulation.Dispatcher;

/**
 * Measures leases in simulated time, in units of the term: a message takes up to 5 ms, a sync about 1 ms,
 * clock drift is up to 5%, the term is 1 s. Run by {@code mvn -q -Pbench test -Dtest=LeaseMeasurementTest}.
 */
class LeaseMeasurementTest {
    private static final String LEASE = "l0";
    private static final int TAKEOVERS = 100;
    private static final double FAULT_MILLIS = 2500;
    private static final int HOURS = 10;
    private static final double SECONDS_PER_HOUR = 3600;
    private static final double STEP_SECONDS = 0.1;
    /** One fault every 10 s on average, at steps of 0.1 s. */
    private static final int STEPS_PER_FAULT = 100;

    private static LeaseSimulation simulationWithHolder(long seed) {
        LeaseSimulation simulation = new LeaseSimulation(seed, 5, 3, 1);
        simulation.drawClockRates();
        simulation.startAll();
        simulation.runUntil(10, () -> simulation.actor(LEASE) != null);
        return simulation;
    }

    private static void measureTakeover(String what, Consumer<Dispatcher> fault) {
        List<Double> terms = new ArrayList<>();
        for (long seed = 0; seed < TAKEOVERS; seed++) {
            LeaseSimulation simulation = simulationWithHolder(seed);
            simulation.run(2 + new SplittableRandom(seed).nextDouble());
            String first = simulation.actor(LEASE);
            fault.accept(simulation.dispatchers.get(first));
            terms.add(simulation.runUntil(20,
                    () -> simulation.actor(LEASE) != null && !simulation.actor(LEASE).equals(first)));
        }
        terms.sort(null);
        System.out.printf("next holder acts after %-28s median %.2f terms, maximum %.2f%n", what,
                terms.get(TAKEOVERS / 2), terms.get(TAKEOVERS - 1));
    }

    @Test
    void takeover() {
        measureTakeover("a crash", Dispatcher::kill);
        measureTakeover("a pause", dispatcher -> dispatcher.setPaused(true));
        measureTakeover("a partition", dispatcher -> dispatcher.cutOff = true);
        measureTakeover("a graceful shutdown", dispatcher -> dispatcher.manager.shutDown(dispatcher.clock()));
    }

    @Test
    void costWithoutFaults() {
        for (int[] size : new int[][]{{3, 1}, {5, 1}, {3, 100}, {5, 100}}) {
            measureCost(size[0], size[1]);
        }
    }

    private static void measureCost(int acceptors, int leases) {
        LeaseSimulation simulation = new LeaseSimulation(1, 20, acceptors, leases).startAll();
        simulation.runUntil(60,
                () -> simulation.leases.stream().allMatch(lease -> simulation.actor(lease) != null));
        simulation.run(5);
        long messages = simulation.messages;
        long bytes = simulation.bytes;
        long syncs = simulation.syncs;
        long startNanos = System.nanoTime();
        double terms = 20;
        simulation.run(terms);
        double cpuMillis = (System.nanoTime() - startNanos) / 1e6;
        System.out.printf(
                "%d acceptors, 20 dispatchers, %d leases: per term and lease %.1f messages, %.0f bytes,"
                        + " %.2f syncs; CPU of all %.2f ms per term%n",
                acceptors, leases, (simulation.messages - messages) / terms / leases,
                (simulation.bytes - bytes) / terms / leases, (simulation.syncs - syncs) / terms / leases,
                cpuMillis / terms);
    }

    @Test
    void anHourOfFaults() {
        double[] percentWithoutActor = new double[HOURS];
        for (int seed = 0; seed < HOURS; seed++) {
            percentWithoutActor[seed] = runHour(seed);
        }
        System.out.println("an hour of faults of 2.5 terms, each 10 s on average: % of time without an actor "
                + Arrays.toString(percentWithoutActor));
    }

    private static double runHour(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LeaseSimulation simulation = simulationWithHolder(seed);
        long withoutActor = 0;
        long steps = 0;
        for (double second = 0; second < SECONDS_PER_HOUR; second += STEP_SECONDS) {
            if (random.nextInt(STEPS_PER_FAULT) == 0) {
                injectFault(simulation, random);
            }
            simulation.run(STEP_SECONDS);
            steps++;
            withoutActor += simulation.actor(LEASE) == null ? 1 : 0;
        }
        return 100.0 * withoutActor / steps;
    }

    private static void injectFault(LeaseSimulation simulation, SplittableRandom random) {
        Dispatcher dispatcher = simulation.dispatcher(1 + random.nextInt(5));
        switch (random.nextInt(3)) {
            case 0 -> {
                dispatcher.kill();
                simulation.after(FAULT_MILLIS, () -> {
                    if (!dispatcher.isRunning()) {
                        dispatcher.start();
                    }
                });
            }
            case 1 -> {
                dispatcher.setPaused(true);
                simulation.after(FAULT_MILLIS, () -> dispatcher.setPaused(false));
            }
            default -> {
                dispatcher.cutOff = true;
                simulation.after(FAULT_MILLIS, () -> dispatcher.cutOff = false);
            }
        }
    }
}
