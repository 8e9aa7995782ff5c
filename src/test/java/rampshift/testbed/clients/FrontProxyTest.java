package rampshift.testbed.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.plan.FleetPlanReader;
import rampshift.testbed.random.RandomStreams;
import rampshift.time.Moment;
import rampshift.time.Span;

class FrontProxyTest {
    private static final int SITE_A = 0;
    private static final int SITE_B = 1;

    private static FleetPlan plan() {
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
                [clients]
                dead_front = "1s"
                """, null);
    }

    @Test
    void aFailedDispatcherIsChosenUntilItIsExcludedThenTheOthersAre() {
        List<InetSocketAddress> addresses = List.of(new InetSocketAddress(1), new InetSocketAddress(2),
                new InetSocketAddress(3));
        FrontProxy front = new FrontProxy(plan(), addresses, RandomStreams.of(1, "front"));
        Moment now = Moment.ofMillis(0);
        Dispatcher failed = front.dispatchers().get(0);
        front.onFailure(failed, now);
        assertEquals(List.of(failed), front.failedDispatchers());
        boolean stillChosen = false;
        for (int i = 0; i < 50; i++) {
            stillChosen |= front.pick(SITE_A, Moment.ofMillis(999)).equals(failed);
            assertEquals(1, front.pick(SITE_A, Moment.ofMillis(1001)).number(), "the other one of its site");
            assertEquals(2, front.pick(SITE_B, now).number());
        }
        assertTrue(stillChosen);
        front.onFailure(front.dispatchers().get(1), now);
        assertEquals(2, front.pick(SITE_A, now.plus(Span.ofMillis(1001))).number(),
                "another site's where none is left");
        front.onReady(failed);
        assertEquals(0, front.pick(SITE_A, now.plus(Span.ofMillis(5000))).number());
    }
}
