package rampshift.testbed.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.plan.FleetPlanReader;
import rampshift.testbed.random.RandomStreams;
import rampshift.time.Moment;
import rampshift.time.Span;

class ArrivalsTest {
    private static FleetPlan plan(String more) {
        return FleetPlanReader.read("f.toml", """
                length = "100s"
                [[machine]]
                name = "m"
                [[site]]
                name = "a"
                share = 3
                dispatchers = 2
                [[site]]
                name = "b"
                share = 1
                [[type]]
                name = "x"
                share = 1
                work = "100ms"
                spread = "exponential"
                [[type]]
                name = "y"
                share = 1
                """ + more, null);
    }

    private static List<Arrivals.Arrival> all(FleetPlan plan, long seed, int process) {
        List<Arrivals.Arrival> all = new ArrayList<>();
        Arrivals arrivals = new Arrivals(plan, seed, process);
        for (Arrivals.Arrival a = arrivals.next(); a != null; a = arrivals.next()) {
            all.add(a);
        }
        return all;
    }

    @Test
    void tasksComeAsOftenAsSaidBySiteAndTypeAndWithTheirWork() {
        List<Arrivals.Arrival> all = all(plan("[arrivals]\nrate = 100\n"), 5, 0);
        assertEquals(10_000, all.size(), 300);
        assertEquals(0.75, all.stream().filter(a -> a.site() == 0).count() / (double) all.size(), 0.02);
        assertEquals(0.5, all.stream().filter(a -> a.type() == 0).count() / (double) all.size(), 0.02);
        assertEquals(100,
                all.stream().filter(a -> a.type() == 0).mapToDouble(a -> a.work().millis()).average()
                        .orElse(0),
                5);
        assertEquals(10_000, all.get(all.size() - 1).at().micros() / 1e4, 100);
    }

    @Test
    void aBurstOfOneSiteLeavesTheOtherAsItWas() {
        List<Arrivals.Arrival> all = all(plan("""
                [arrivals]
                rate = 100
                [[arrivals.burst]]
                at = "50s"
                length = "50s"
                times = 3
                site = "b"
                """), 5, 0);
        long before = all.stream().filter(a -> a.site() == 1 && a.at().millis() < 50_000).count();
        long within = all.stream().filter(a -> a.site() == 1 && a.at().millis() >= 50_000).count();
        assertEquals(1250.0, (double) before, 130);
        assertEquals(3750.0, (double) within, 250);
        assertEquals(7500.0, (double) (all.size() - before - within), 300);
    }

    @Test
    void theSameSeedBringsTheSameTasksAndEachProcessItsOwnPart() {
        FleetPlan two = plan("[arrivals]\nrate = 100\n[clients]\nprocesses = 2\n");
        assertEquals(all(two, 7, 0), all(two, 7, 0));
        assertNotEquals(all(two, 7, 0), all(two, 8, 0));
        assertEquals(5000, all(two, 7, 1).size(), 220);
        assertNotEquals(all(two, 7, 0).get(0), all(two, 7, 1).get(0));
        assertNull(new Arrivals(plan("[arrivals]\nrate = 0\n"), 1, 0).next());
    }

    @Test
    void theFrontGoesOnSendingToADeadDispatcherForAWhileThenUsesTheOthers() {
        FleetPlan plan = plan("[clients]\ndead_front = \"1s\"\n");
        List<InetSocketAddress> addresses = List.of(new InetSocketAddress(1), new InetSocketAddress(2),
                new InetSocketAddress(3));
        FrontProxy front = new FrontProxy(plan, addresses, RandomStreams.of(1, "front"));
        Moment now = Moment.ofMillis(0);
        FrontProxy.Member dead = front.members().get(0);
        front.failed(dead, now);
        assertEquals(List.of(dead), front.suspects());
        boolean still = false;
        for (int i = 0; i < 50; i++) {
            still |= front.pick(0, Moment.ofMillis(999)) == dead;
            assertEquals(1, front.pick(0, Moment.ofMillis(1001)).number, "the other one of its site");
            assertEquals(2, front.pick(1, now).number);
        }
        assertEquals(true, still);
        front.failed(front.members().get(1), now);
        assertEquals(2, front.pick(0, now.plus(Span.ofMillis(1001))).number,
                "another site's where none is left");
        front.ready(dead);
        assertEquals(0, front.pick(0, now.plus(Span.ofMillis(5000))).number);
    }
}
