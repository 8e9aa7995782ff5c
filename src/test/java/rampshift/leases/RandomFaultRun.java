package rampshift.leases;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A simulation with faults drawn from a seed: crashes, pauses, partitions, reconfigurations and handovers.
 */
final class RandomFaultRun {
    private static final int FAULTS = 12;
    private static final double MAX_FAULT_SECONDS = 2.5;

    private final SplittableRandom random;
    private final LeaseSimulation simulation;
    private final int dispatcherCount;

    /** Draws the number of dispatchers and the properties of their clocks, network and disks. */
    RandomFaultRun(long seed) {
        random = new SplittableRandom(seed);
        dispatcherCount = 3 + random.nextInt(18);
        int acceptorCount = dispatcherCount > 5 && random.nextBoolean() ? 5 : 3;
        simulation = new LeaseSimulation(seed, dispatcherCount, acceptorCount, 2);
        simulation.drawClockRates();
        simulation.lossRate = random.nextInt(3) * 0.1;
        simulation.repeatRate = random.nextInt(2) * 0.1;
        simulation.maxLatencyMillis = random.nextBoolean() ? 5 : 120;
        simulation.syncMillis = random.nextBoolean() ? 1 : 60;
        for (LeaseSimulation.Dispatcher dispatcher : simulation.dispatchers.values()) {
            if (dispatcher.disk == null && random.nextInt(3) == 0) {
                dispatcher.disk = new TreeMap<>();
            }
        }
    }

    /** Runs the simulation with faults, and ends all faults afterwards. */
    LeaseSimulation run() {
        simulation.startAll();
        simulation.run(3);
        for (int i = 0; i < FAULTS; i++) {
            injectFault();
            simulation.run(random.nextDouble() * 1.5);
        }
        simulation.dispatchers.values().forEach(dispatcher -> {
            dispatcher.cutOff = false;
            dispatcher.setPaused(false);
            startIfKilled(dispatcher);
        });
        simulation.lossRate = 0;
        return simulation;
    }

    private void injectFault() {
        LeaseSimulation.Dispatcher dispatcher = simulation.dispatcher(1 + random.nextInt(dispatcherCount));
        double millis = 1000 * (random.nextDouble() * MAX_FAULT_SECONDS);
        switch (random.nextInt(6)) {
            case 0 -> {
                dispatcher.kill();
                simulation.after(millis, () -> startIfKilled(dispatcher));
            }
            case 1 -> {
                dispatcher.setPaused(true);
                simulation.after(millis, () -> dispatcher.setPaused(false));
            }
            case 2 -> {
                dispatcher.cutOff = true;
                simulation.after(millis, () -> dispatcher.cutOff = false);
            }
            case 3 -> partition(millis);
            case 4 -> reconfigure(dispatcher);
            default -> {
                if (dispatcher.isRunning()) {
                    dispatcher.manager.handOver(dispatcher.clock(), "l0", random.nextBoolean() ? "*" : "d1");
                }
            }
        }
    }

    private static void startIfKilled(LeaseSimulation.Dispatcher dispatcher) {
        if (!dispatcher.isRunning()) {
            dispatcher.start();
        }
    }

    private void partition(double millis) {
        for (LeaseSimulation.Dispatcher each : simulation.dispatchers.values()) {
            each.cutOff = random.nextBoolean();
        }
        simulation.after(millis, () -> simulation.dispatchers.values().forEach(each -> each.cutOff = false));
    }

    private void reconfigure(LeaseSimulation.Dispatcher dispatcher) {
        List<String> acceptors = new ArrayList<>(simulation.dispatchers.values().stream()
                .filter(each -> each.disk != null).map(each -> each.name).toList());
        while (acceptors.size() > (random.nextBoolean() ? 3 : 5) || acceptors.size() % 2 == 0) {
            acceptors.remove(random.nextInt(acceptors.size()));
        }
        if (dispatcher.isRunning()) {
            dispatcher.manager.reconfigure(dispatcher.clock(), acceptors);
        }
    }

    /** Describes the drawn simulation, to analyse a seed. */
    @Override
    public String toString() {
        return dispatcherCount + " dispatchers, " + simulation.eventCount + " events, " + simulation.takeovers
                + " takeovers, " + simulation.lossRate + " " + simulation.maxLatencyMillis + " "
                + simulation.syncMillis;
    }
}
