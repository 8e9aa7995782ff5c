package rampshift.membership;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/** The table of docs/measurements.md: mvn -q -Pbench test -Dtest=MeasureTest -Dmembers.measure=5,20,100 */
@EnabledIfSystemProperty(named = "members.measure", matches = "[\\d,]+")
class MembershipMeasurementTest {
    @Test
    void detectionFalseAccusationsBytesAndCpuBySize() {
        for (String size : System.getProperty("members.measure").split(",")) {
            int count = Integer.parseInt(size);
            for (double lost : List.of(0.0, 0.05, 0.2)) {
                SimulatedNetwork net = new SimulatedNetwork(11, count).startAll();
                net.until(120, net::agree);
                net.lostEverywhere = lost;
                long sent = sum(net, 0);
                long bytes = sum(net, 1);
                long cpu = System.nanoTime();
                net.run(60);
                cpu = System.nanoTime() - cpu;
                sent = sum(net, 0) - sent;
                bytes = sum(net, 1) - bytes;
                long failed = net.nodes.values().stream().mapToLong(n -> n.count(Event.Kind.FAILED)).sum();
                net.node(count).kill();
                double known = net.until(300, () -> net.nodes.values().stream()
                        .allMatch(n -> n.roll == null || n.of("d" + count) == MemberUpdate.Belief.FAILED));
                System.out.printf(
                        "members %d, lost %.0f%%: %.1f s until all know, %d false in 60 s, %.0f bytes and %.2f datagrams"
                                + " a second and member, %.0f us of CPU%n    heartbeats, 5 periods: %s%n    heartbeats, 12 periods: %s%n",
                        count, 100 * lost, known, failed, bytes / 60.0 / count, sent / 60.0 / count,
                        cpu / 1000.0 / 60 / count,
                        Heartbeats.play(11, count, 5, lost, 60), Heartbeats.play(11, count, 12, lost, 60));
            }
        }
    }

    private static long sum(SimulatedNetwork net, int which) {
        return net.nodes.values().stream().filter(n -> n.roll != null)
                .mapToLong(n -> which == 0 ? n.roll.counts().sent
                        : n.roll.counts().sentBytes)
                .sum();
    }
}
