package rampshift.leases;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Figures of leases in simulated time, in terms: a message takes up to 5 ms, a sync about 1 ms, clocks are up
 * to 5% off,
 * the term is 1 s. mvn -q -Pbench test -Dtest=LeasesMeasureTest
 */
class LeaseMeasurementTest {
    private static void after(String what, Consumer<LeaseSimulation.Node> fault) {
        List<Double> all = new ArrayList<>();
        for (long seed = 0; seed < 100; seed++) {
            LeaseSimulation sim = new LeaseSimulation(seed, 5, 3, 1);
            sim.drift();
            sim.startAll();
            sim.until(10, () -> sim.actor("l0") != null);
            sim.run(2 + new SplittableRandom(seed).nextDouble());
            String first = sim.actor("l0");
            fault.accept(sim.nodes.get(first));
            all.add(sim.until(20, () -> sim.actor("l0") != null && !sim.actor("l0").equals(first)));
        }
        all.sort(null);
        System.out.printf("next act after %-28s median %.2f terms, most %.2f%n", what, all.get(50),
                all.get(99));
    }

    @Test
    void takeover() {
        after("death", LeaseSimulation.Node::kill);
        after("a stall", n -> n.stop(true));
        after("a cut", n -> n.cut = true);
        after("an end in order", n -> n.all.end(n.clock()));
    }

    @Test
    void atRest() {
        for (int[] size : new int[][]{{3, 1}, {5, 1}, {3, 100}, {5, 100}}) {
            LeaseSimulation sim = new LeaseSimulation(1, 20, size[0], size[1]).startAll();
            sim.until(60, () -> sim.leases.stream().allMatch(l -> sim.actor(l) != null));
            sim.run(5);
            long messages = sim.messages;
            long bytes = sim.bytes;
            long syncs = sim.syncs;
            long cpu = System.nanoTime();
            sim.run(20);
            double terms = 20;
            System.out.printf(
                    "%d keepers, 20 dispatchers, %d leases: a term and lease %.1f messages, %.0f bytes, %.2f syncs; CPU of all %.2f ms a term%n",
                    size[0], size[1], (sim.messages - messages) / terms / size[1],
                    (sim.bytes - bytes) / terms / size[1],
                    (sim.syncs - syncs) / terms / size[1], (System.nanoTime() - cpu) / 1e6 / terms);
        }
    }

    @Test
    void anHourOfFaults() {
        double[] without = new double[10];
        for (int seed = 0; seed < 10; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            LeaseSimulation sim = new LeaseSimulation(seed, 5, 3, 1);
            sim.drift();
            sim.startAll();
            sim.until(10, () -> sim.actor("l0") != null);
            long nobody = 0;
            long looks = 0;
            for (double s = 0; s < 3600; s += 0.1) {
                if (chance.nextInt(100) == 0) {         // each 10 s on the mean, for 2.5 s
                    LeaseSimulation.Node n = sim.node(1 + chance.nextInt(5));
                    switch (chance.nextInt(3)) {
                        case 0 -> {
                            n.kill();
                            sim.after(2500, () -> {
                                if (n.all == null) {
                                    n.start();
                                }
                            });
                        }
                        case 1 -> {
                            n.stop(true);
                            sim.after(2500, () -> n.stop(false));
                        }
                        default -> {
                            n.cut = true;
                            sim.after(2500, () -> n.cut = false);
                        }
                    }
                }
                sim.run(0.1);
                looks++;
                nobody += sim.actor("l0") == null ? 1 : 0;
            }
            without[seed] = 100.0 * nobody / looks;
        }
        System.out.println("an hour of faults, each 10 s on the mean, 2.5 terms long: nobody acts in % "
                + Arrays.toString(without));
    }
}
