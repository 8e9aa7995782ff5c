package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.policy.FakeHost.IDEMPOTENT;
import static rampshift.policy.FakeHost.NON_IDEMPOTENT;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rampshift.time.Span;

/** Hedges and retries, and the token bucket that limits them. */
class RetryPolicyTest {
    @Test
    void hedgesStayWithinTheTokens() {
        FakeHost host = new FakeHost().fleet(6).runTasks(IDEMPOTENT, 200, 50);
        assertTrue(host.count("forward") > 200, "hedges are sent");
        assertTrue(host.count("forward") <= 200 + 200 / 5 + 1, "no more than a fifth of first attempts");
    }

    @Test
    void costlyWasteLimitsHedgesButNotRetriesOfQueuedTasks() {
        FakeHost host = new FakeHost();
        host.settings.wastedWorkCost = 0.5;
        host.fleet(6).runTasks(IDEMPOTENT, 200, 50);
        assertTrue(host.count("forward") <= 200 + 200 / 5 / 5, "a hedge takes ten tokens");
        long id = host.task(IDEMPOTENT);
        host.after(40);
        assertEquals(2, host.count("forward " + id + " "), "a second attempt that queues wastes nothing");
    }

    @ParameterizedTest
    @CsvSource({"false,true", "true,false"})
    void noHedgesWhereCancelsOrHedgesAreNotAllowed(boolean cancel, boolean hedge) {
        FakeHost host = new FakeHost();
        host.settings.mayCancel = cancel;
        host.settings.mayHedge = hedge;
        host.fleet(6).runTasks(IDEMPOTENT, 50, 50);
        assertEquals(50, host.count("forward"));
    }

    @Test
    void anUnstartedIdempotentTaskQueuesElsewhereTooAndTheFirstStartCancelsTheRest() {
        FakeHost host = new FakeHost().fleet(12).runTasks(IDEMPOTENT, 100, 50);
        long id = host.task(IDEMPOTENT);
        int first = host.count("forward " + id + " ");
        host.after(40).after(40);
        assertTrue(host.count("forward " + id + " ") > first, "another attempt");
        assertEquals(0, host.count("cancel " + id + " "), "the first attempt stays queued");
        host.started(id, first);
        assertTrue(host.count("cancel " + id + " ") >= 1, "the attempt that still queues is cancelled");
    }

    /**
     * Guards against timers that fire on any event while the dispatcher lags behind: a start message is still
     * unread when another task arrives, so that the attempt counts as not started and is repeated, which
     * delays the dispatcher further.
     */
    @Test
    void aStartThatIsReadLateButBeforeTheTimerKeepsTheAttemptFromBeingRepeated() {
        FakeHost host = new FakeHost().fleet(12).runTasks(IDEMPOTENT, 100, 50);
        long id = host.task(IDEMPOTENT);
        int first = host.count("forward " + id + " ");
        host.advanceWithoutTimer(40).task(NON_IDEMPOTENT);
        host.advanceWithoutTimer(40).task(NON_IDEMPOTENT);
        assertEquals(first, host.count("forward " + id + " "), "not decided by another task's arrival");
        host.started(id, 0).after(0);
        assertEquals(first, host.count("forward " + id + " "), "its start came before the timer");
    }

    /**
     * Guards against a lost task that is held until its deadline, which leaves its client no time for a
     * retry.
     */
    @Test
    void aTaskWhoseAnswerIsLostIsGivenUpAtOnceWhereNoRetryIsAllowed() {
        FakeHost host = new FakeHost();
        host.settings.progressInterval = Span.ofMillis(1000);
        host.settings.maxAttempts = 1;
        host.fleet(3);
        long nonIdempotent = host.task(NON_IDEMPOTENT);
        long idempotent = host.task(IDEMPOTENT);
        host.started(nonIdempotent, 0).started(idempotent, 0);
        host.after(1000).after(300);
        assertEquals(0, host.count("fail") + host.count("reject"), "a progress message may still arrive");
        for (int i = 0; i < 10; i++) {
            host.after(100);
        }
        assertEquals(1, host.count("fail " + nonIdempotent), "it may have run");
        assertEquals(1, host.count("reject " + idempotent + " "), "its client may retry");
    }

    @ParameterizedTest
    @CsvSource({"1,fail", "3,reject"})
    void aLostKeyedTaskIsGivenUpAfterItsDeduplicationWindow(int type, String answer) {
        FakeHost host = new FakeHost();
        host.settings.progressInterval = Span.ofMillis(500);
        host.fleet(1);
        long id = host.task(type);
        host.started(id, 0);
        for (int i = 0; i < 9; i++) {
            host.after(100);
        }
        assertEquals(0, host.count(answer), "within the window another worker of its scope may become ready");
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
        long running = host.task(NON_IDEMPOTENT);
        host.started(running, 0);
        long queued = host.task(NON_IDEMPOTENT);
        for (int i = 1; i < 30; i++) {
            host.policy().onAttemptProgress(running, 0, i / 40.0);
            host.after(100);
        }
        assertEquals(1, host.count("forward " + queued + " "), "it queues there");
        assertEquals(0, host.count("fail"));
    }

    /**
     * Guards against short tasks that stay in queues until they are late because a new connection costs more
     * than half of their value.
     */
    @Test
    void anOverdueTaskIsRetriedAtAnyWorkerWhoseValueExceedsItsCost() {
        FakeHost host = new FakeHost();
        host.settings.handshakeCost = 0.6;
        host.fleet(4).runTasks(NON_IDEMPOTENT, 20, 50);
        long id = host.task(IDEMPOTENT);
        host.after(40);
        assertEquals(2, host.count("forward " + id + " "), "it has not started at the first worker");
    }
}
