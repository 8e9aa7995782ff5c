package rampshift.membership;

import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import rampshift.membership.MembershipMetrics.Counter;

/**
 * Measures the table of docs/measurements.md:
 * {@code mvn -q -Pbench test -Dtest=MembershipMeasurementTest -Dmembers.measure=5,20,100}.
 */
@EnabledIfSystemProperty(named = "members.measure", matches = "[\\d,]+")
class MembershipMeasurementTest {
    private static final long SEED = 11;
    private static final int MEASURED_SECONDS = 60;
    private static final double NANOS_PER_MICRO = 1000.0;

    @Test
    void detectionTimeFalseDetectionsTrafficAndCpuByFleetSize() {
        for (String size : Pattern.compile(",").split(System.getProperty("members.measure"))) {
            for (double loss : List.of(0.0, 0.05, 0.2)) {
                measure(Integer.parseInt(size), loss);
            }
        }
    }

    private static void measure(int count, double loss) {
        SimulatedNetwork network = new SimulatedNetwork(SEED, count).startAll();
        network.until(120, network::agree);
        network.lossEverywhere = loss;
        long datagramsBefore = sum(network, Counter.SENT);
        long bytesBefore = sum(network, Counter.SENT_BYTES);
        long startNanos = System.nanoTime();
        network.run(MEASURED_SECONDS);
        long elapsedNanos = System.nanoTime() - startNanos;
        double memberSeconds = (double) MEASURED_SECONDS * count;
        double datagrams = (sum(network, Counter.SENT) - datagramsBefore) / memberSeconds;
        double bytes = (sum(network, Counter.SENT_BYTES) - bytesBefore) / memberSeconds;
        double cpuMicros = elapsedNanos / NANOS_PER_MICRO / memberSeconds;
        long failed = network.nodes.values().stream()
                .mapToLong(node -> node.eventCount(MembershipEvent.Kind.FAILED)).sum();
        network.node(count).kill();
        String killed = network.node(count).name;
        double detected = network.until(300, () -> network.nodes.values().stream()
                .allMatch(node -> !node.isRunning() || node.statusOf(killed) == MemberUpdate.Status.FAILED));
        System.out.printf(
                "members %d, lost %.0f%%: %.1f s until all know, %d false in 60 s, %.0f bytes and %.2f "
                        + "datagrams per second and member, %.0f us of CPU%n    heartbeats, 5 periods: %s%n"
                        + "    heartbeats, 12 periods: %s%n",
                count, 100 * loss, detected, failed, bytes, datagrams, cpuMicros,
                HeartbeatBaseline.simulate(SEED, count, 5, loss, MEASURED_SECONDS),
                HeartbeatBaseline.simulate(SEED, count, 12, loss, MEASURED_SECONDS));
    }

    private static long sum(SimulatedNetwork network, Counter counter) {
        return network.nodes.values().stream().filter(SimulatedNetwork.Node::isRunning)
                .mapToLong(node -> node.membership.metrics().get(counter)).sum();
    }
}
