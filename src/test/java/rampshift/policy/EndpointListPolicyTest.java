package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rampshift.policy.FakeHost.IDEMPOTENT;
import static rampshift.policy.FakeHost.NON_IDEMPOTENT;

import org.junit.jupiter.api.Test;
import rampshift.time.Span;

/** Subscriptions to the endpoint list, and tasks that wait for a list. */
class EndpointListPolicyTest {
    @Test
    void aLostSubscriptionIsRenewedWithJitterAndInTime() {
        FakeHost host = new FakeHost();
        host.settings.endpointListOnRequest = true;
        host.settings.maxSubscribeDelay = Span.ofMillis(10_000);
        host.fleet(2);
        assertEquals(1, host.count("subscribe"));
        host.policy().onEndpointListBegin(EndpointListKind.FAILED);
        host.policy().onEndpointListEnd();
        host.decide().after(100);
        assertEquals(1, host.count("subscribe"), "not at once");
        host.after(9000);
        assertEquals(2, host.count("subscribe"));
    }

    /**
     * Guards against attempts to workers that drained during a restart: after 65 of 93 dispatchers were
     * killed at once, 8 such attempts were sent.
     */
    @Test
    void afterARestartTasksWaitForTheFirstList() {
        FakeHost host = new FakeHost().fleet(2);
        host.policy().onEndpointListAwaited(true);
        long id = host.task(IDEMPOTENT);
        assertEquals(0, host.count("forward"));
        host.relist(1, false, 0);
        assertEquals(2, host.worker(id, 0));
    }

    @Test
    void aFailedListEndsTheWait() {
        FakeHost host = new FakeHost().fleet(1);
        host.policy().onEndpointListAwaited(true);
        long id = host.task(NON_IDEMPOTENT);
        host.policy().onEndpointListBegin(EndpointListKind.FAILED);
        host.policy().onEndpointListEnd();
        host.decide();
        assertEquals(1, host.worker(id, 0));
    }

    @Test
    void aTaskThatWouldBeLateAfterTheWaitIsRejectedAtOnce() {
        FakeHost host = new FakeHost().fleet(1);
        host.policy().onEndpointListAwaited(true);
        long id = host.task(NON_IDEMPOTENT);
        host.after(250);
        assertEquals(0, host.count("reject"), "due after 100 ms and 3 times its run");
        host.after(60);
        assertEquals(1, host.count("reject " + id + " "));
        host.relist(1, true, 0);
        assertEquals(0, host.count("forward"));
    }

    @Test
    void afterAChangeOfTheListsSourceTheKnownListHoldsForTheDrainGrace() {
        FakeHost host = new FakeHost();
        host.settings.drainGrace = Span.ofMillis(250);
        host.fleet(2).policy().onEndpointListAwaited(false);
        host.after(240).task(NON_IDEMPOTENT);
        assertEquals(1, host.count("forward"));
        host.after(20).task(NON_IDEMPOTENT);
        assertEquals(1, host.count("forward"), "the list of the new source may apply by now");
        host.relist(1, true, 0);
        assertEquals(2, host.count("forward"));
    }

    @Test
    void aTaskWhoseClientDisconnectsBetweenTwoAttemptsIsNotRetried() {
        FakeHost host = new FakeHost().fleet(2);
        long id = host.task(NON_IDEMPOTENT);
        host.policy().onEndpointListAwaited(true);
        host.finished(id, 0, AttemptOutcome.FULL);
        assertEquals(1, host.count("forward"), "the next attempt waits for the list");
        host.policy().onClientDisconnected(id);
        host.decide().relist(1, true, 0);
        assertEquals(1, host.count("forward"));
    }
}
