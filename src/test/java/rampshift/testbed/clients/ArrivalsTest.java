package rampshift.testbed.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static rampshift.testbed.clients.TwoSitePlan.SITE_A;
import static rampshift.testbed.clients.TwoSitePlan.SITE_B;
import static rampshift.testbed.clients.TwoSitePlan.TYPE_X;
import static rampshift.testbed.clients.TwoSitePlan.TYPE_Y;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.junit.jupiter.api.Test;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Span;

class ArrivalsTest {
    private static List<Arrival> allArrivals(FleetPlan plan, long seed, int process) {
        List<Arrival> all = new ArrayList<>();
        Arrivals arrivals = new Arrivals(plan, seed, process);
        for (Arrival next = arrivals.next(); next != null; next = arrivals.next()) {
            all.add(next);
        }
        return all;
    }

    private static long count(List<Arrival> arrivals, Predicate<Arrival> condition) {
        return arrivals.stream().filter(condition).count();
    }

    private static long sum(List<Arrival> arrivals, ToLongFunction<Arrival> value) {
        return arrivals.stream().mapToLong(value).sum();
    }

    @Test
    void arrivalsHaveTheRateSharesAndWorkOfThePlan() {
        List<Arrival> all = allArrivals(TwoSitePlan.read("[arrivals]\nrate = 100\n"), 5, 0);
        double total = all.size();
        assertEquals(10_000, all.size(), 300);
        assertEquals(0.75, count(all, arrival -> arrival.site() == SITE_A) / total, 0.02);
        assertEquals(0.5, count(all, arrival -> arrival.type() == TYPE_X) / total, 0.02);
        double meanWorkMillis = all.stream().filter(arrival -> arrival.type() == TYPE_X)
                .mapToDouble(arrival -> arrival.work().millis()).average().orElse(0);
        assertEquals(100, meanWorkMillis, 5);
        assertEquals(10_000, all.get(all.size() - 1).at().micros() / 1e4, 100);
    }

    @Test
    void aBurstOfOneSiteLeavesTheOtherUnchanged() {
        List<Arrival> all = allArrivals(TwoSitePlan.read("""
                [arrivals]
                rate = 100
                [[arrivals.burst]]
                at = "50s"
                length = "50s"
                times = 3
                site = "b"
                """), 5, 0);
        long before = count(all, arrival -> arrival.site() == SITE_B && arrival.at().millis() < 50_000);
        long within = count(all, arrival -> arrival.site() == SITE_B && arrival.at().millis() >= 50_000);
        assertEquals(1250.0, (double) before, 130);
        assertEquals(3750.0, (double) within, 250);
        assertEquals(7500.0, (double) (all.size() - before - within), 300);
    }

    @Test
    void aSeedGivesTheSameArrivalsAgainAndEachProcessItsOwn() {
        FleetPlan plan = TwoSitePlan.read("[arrivals]\nrate = 100\n[clients]\nprocesses = 2\n");
        assertEquals(allArrivals(plan, 7, 0), allArrivals(plan, 7, 0));
        assertNotEquals(allArrivals(plan, 7, 0), allArrivals(plan, 8, 0));
        assertEquals(5000, allArrivals(plan, 7, 1).size(), 220);
        assertNotEquals(allArrivals(plan, 7, 0).get(0), allArrivals(plan, 7, 1).get(0));
    }

    @Test
    void nothingArrivesAtRateZero() {
        assertNull(new Arrivals(TwoSitePlan.read("[arrivals]\nrate = 0\n"), 1, 0).next());
    }

    /** Runs must be repeatable with later versions: the expected values come from earlier versions. */
    @Test
    void aSeedGivesTheSameArrivalsAsInEarlierVersions() {
        FleetPlan plan = TwoSitePlan.read("share = 2\nspread = \"narrow\"\n", """
                [arrivals]
                rate = 100
                objects = 50
                [[arrivals.burst]]
                at = "50s"
                length = "50s"
                times = 3
                site = "b"
                """);
        List<Arrival> all = allArrivals(plan, 7, 0);
        assertEquals(new Arrival(new Span(18_656), SITE_A, TYPE_X, new Span(112_169), 18), all.get(0));
        assertEquals(new Arrival(new Span(51_487), SITE_B, TYPE_Y, new Span(67_437), 10), all.get(2));
        assertEquals(12_545, all.size());
        assertEquals(694_377_571_319L, sum(all, arrival -> arrival.at().micros()));
        assertEquals(4996, sum(all, Arrival::site));
        assertEquals(8293, sum(all, Arrival::type));
        assertEquals(833_046_855, sum(all, arrival -> arrival.work().micros()));
        assertEquals(304_765, sum(all, Arrival::object));
    }
}
