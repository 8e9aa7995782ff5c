package rampshift.testbed.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.testbed.clients.TwoSitePlan.SITE_A;
import static rampshift.testbed.clients.TwoSitePlan.SITE_B;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.random.RandomStreams;
import rampshift.time.Moment;
import rampshift.time.Span;

class FrontProxyTest {
    @Test
    void aFailedDispatcherIsChosenUntilItIsExcluded() {
        List<InetSocketAddress> addresses = List.of(new InetSocketAddress(1), new InetSocketAddress(2),
                new InetSocketAddress(3));
        FleetPlan plan = TwoSitePlan.read("[clients]\ndead_front = \"1s\"\n");
        FrontProxy frontProxy = new FrontProxy(plan, addresses, RandomStreams.of(1, "front"));
        Moment now = Moment.ofMillis(0);
        Dispatcher failed = frontProxy.dispatchers().get(0);
        frontProxy.onFailure(failed, now);
        assertEquals(List.of(failed), frontProxy.failedDispatchers());
        boolean stillChosen = false;
        for (int i = 0; i < 50; i++) {
            stillChosen |= frontProxy.pick(SITE_A, Moment.ofMillis(999)).equals(failed);
            assertEquals(1, frontProxy.pick(SITE_A, Moment.ofMillis(1001)).number(), "the other of its site");
            assertEquals(2, frontProxy.pick(SITE_B, now).number());
        }
        assertTrue(stillChosen);
        frontProxy.onFailure(frontProxy.dispatchers().get(1), now);
        assertEquals(2, frontProxy.pick(SITE_A, now.plus(Span.ofMillis(1001))).number(),
                "a dispatcher of another site if all of this site are excluded");
        frontProxy.onReady(failed);
        assertEquals(0, frontProxy.pick(SITE_A, now.plus(Span.ofMillis(5000))).number());
    }
}
