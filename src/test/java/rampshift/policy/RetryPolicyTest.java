package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.policy.FakeHost.IDEMPOTENT;
import static rampshift.policy.FakeHost.NON_IDEMPOTENT;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rampshift.time.Span;

/** Hedges and retries, and the tokens that pay for them. */
class RetryPolicyTest {
    @Test
    void hedgesStayUnderTheTokens() {
        FakeHost host = new FakeHost().fleet(6).train(IDEMPOTENT, 200, 50);
        assertTrue(host.count("forward") > 200, "hedges are sent");
        assertTrue(host.count("forward") <= 200 + 200 / 5 + 1, "no more than a fifth of first attempts");
    }

    @Test
    void costlyWasteLimitsHedgesButNotPlacesInQueues() {
        FakeHost host = new FakeHost();
        host.settings.wastedWorkCost = 0.5;
        host.fleet(6).train(IDEMPOTENT, 200, 50);
        assertTrue(host.count("forward") <= 200 + 200 / 5 / 5, "a tenth of the fifth");
        long id = host.task(IDEMPOTENT);
        host.after(40);
        assertEquals(2, host.count("forward " + id + " "), "a second place in a queue wastes nothing");
    }

    @ParameterizedTest
    @CsvSource({"false,true", "true,false"})
    void noHedgesWhereCancelsOrHedgesAreNotAllowed(boolean cancel, boolean copies) {
        FakeHost host = new FakeHost();
        host.settings.mayCancel = cancel;
        host.settings.mayHedge = copies;
        host.fleet(6).train(IDEMPOTENT, 50, 50);
        assertEquals(50, host.count("forward"));
    }

    @Test
    void anUnstartedIdempotentTaskQueuesElsewhereTooAndTheFirstStartCancelsTheRest() {
        FakeHost host = new FakeHost().fleet(12).train(IDEMPOTENT, 100, 50);
        long id = host.task(IDEMPOTENT);
        int first = host.count("forward " + id + " ");
        host.after(40).after(40);
        assertTrue(host.count("forward " + id + " ") > first, "another assignment");
        assertEquals(0, host.count("cancel " + id + " "), "it keeps its place in the first queue");
        host.started(id, first);
        assertTrue(host.count("cancel " + id + " ") >= 1, "the place in the queue is freed");
    }

    /**
     * The dispatcher was late itself: the start lay unread behind another task. Decided by whichever input
     * came first, each attempt counted as not started and was sent again, which made it later still.
     */
    @Test
    void aStartThatIsReadLateButBeforeTheTimerKeepsTheAttemptFromBeingRepeated() {
        FakeHost host = new FakeHost().fleet(12).train(IDEMPOTENT, 100, 50);
        long id = host.task(IDEMPOTENT);
        int first = host.count("forward " + id + " ");
        host.heldUpFor(40).task(NON_IDEMPOTENT);
        host.heldUpFor(40).task(NON_IDEMPOTENT);
        assertEquals(first, host.count("forward " + id + " "), "not decided by another task's arrival");
        host.started(id, 0).after(0);
        assertEquals(first, host.count("forward " + id + " "), "its start came before the timer");
    }

    /** A lost task was held until its expiry, so that its client could not come back in time. */
    @Test
    void aTaskWhoseAnswerIsLostIsGivenUpAtOnceWhereNoRetryIsLawful() {
        FakeHost host = new FakeHost();
        host.settings.progressInterval = Span.ofMillis(1000);
        host.settings.maxAttempts = 1;
        host.fleet(3);
        long sale = host.task(NON_IDEMPOTENT);
        long look = host.task(IDEMPOTENT);
        host.started(sale, 0).started(look, 0);
        host.after(1000).after(300);
        assertEquals(0, host.count("fail") + host.count("reject"), "a note may still be on its way");
        for (int i = 0; i < 10; i++) {
            host.after(100);
        }
        assertEquals(1, host.count("fail " + sale), "it may have run");
        assertEquals(1, host.count("reject " + look + " "), "its client may come again");
    }

    @ParameterizedTest
    @CsvSource({"1,fail", "3,reject"})
    void aLostKeyedTaskIsGivenUpWhenItsWindowIsOver(int type, String answer) {
        FakeHost host = new FakeHost();
        host.settings.progressInterval = Span.ofMillis(500);
        host.fleet(1);
        long id = host.task(type);
        host.started(id, 0);
        for (int i = 0; i < 9; i++) {
            host.after(100);
        }
        assertEquals(0, host.count(answer), "inside the window another worker might come that may take it");
        for (int i = 0; i < 5; i++) {
            host.after(100);
        }
        assertEquals(1, host.count(answer));
    }

    @Test
    void aQueuedTaskIsNotGivenUpWhileItsWorkerIsHeardFrom() {
        FakeHost host = new FakeHost();
        host.settings.progressInterval = Span.ofMillis(500);
        host.fleet(1);
        long runs = host.task(NON_IDEMPOTENT);
        host.started(runs, 0);
        long queues = host.task(NON_IDEMPOTENT);
        for (int i = 1; i < 30; i++) {
            host.policy().onAttemptProgress(runs, 0, i / 40.0);
            host.after(100);
        }
        assertEquals(1, host.count("forward " + queues + " "), "it waits there");
        assertEquals(0, host.count("fail"));
    }

    /**
     * Met with light tasks that sat in queues until they were late: a new connection cost more than half of
     * what they earn.
     */
    @Test
    void aStuckTaskIsRetriedAtAnyWorkerThatIsWorthItsCost() {
        FakeHost host = new FakeHost();
        host.settings.handshakeCost = 0.6;
        host.fleet(4).train(NON_IDEMPOTENT, 20, 50);
        long id = host.task(IDEMPOTENT);
        host.after(40);
        assertEquals(2, host.count("forward " + id + " "), "it has not begun where it is");
    }
}
