package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.policy.FakeHost.IDEMPOTENT;
import static rampshift.policy.FakeHost.KEYED;
import static rampshift.policy.FakeHost.NON_IDEMPOTENT;

import org.junit.jupiter.api.Test;

/**
 * The order of the checks of a task: whether its deadline is reached, an endpoint list is awaited, or it is
 * likely to fail at any worker, and then its placement or review. A wrong order sends an attempt that is not
 * allowed, or delays an answer that is known.
 */
class TaskPolicyTest {
    /** The time until the deadline of tasks of {@link FakeHost#task(int)}. */
    private static final double REMAINING_MS = 5000;
    /** A time until the deadline that is shorter than the deduplication window of keyed tasks. */
    private static final double SHORT_REMAINING_MS = 500;
    /** A time within the two ticks before the deadline that are reserved for the final answer. */
    private static final double LAST_TICK_MS = 1;
    /** A time after which a task that was not sent is late. */
    private static final double LATE_MS = 1000;
    private static final int FAILED_TASKS = 5;

    @Test
    void idempotentTaskIsRetriedAtOnceAfterAFailure() {
        FakeHost host = new FakeHost().fleet(4);
        long id = host.task(IDEMPOTENT);
        host.finished(id, 0, AttemptOutcome.BROKEN);
        assertEquals(2, attempts(host, id));
        assertEquals(0, finalAnswers(host));
    }

    /**
     * The task may have run, so it must be neither retried nor rejected, after which its client would retry.
     */
    @Test
    void nonIdempotentTaskThatMayHaveRunIsFailedAtOnceAndNotRetried() {
        FakeHost host = new FakeHost().fleet(4);
        long id = host.task(NON_IDEMPOTENT);
        host.finished(id, 0, AttemptOutcome.BROKEN);
        assertEquals(1, attempts(host, id));
        assertEquals(1, host.count("fail " + id + " "));
        assertEquals(0, host.count("reject"));
    }

    @Test
    void nonIdempotentTaskThatNeverRanIsRetriedAtOnce() {
        FakeHost host = new FakeHost().fleet(4);
        long id = host.task(NON_IDEMPOTENT);
        host.finished(id, 0, AttemptOutcome.FULL);
        assertEquals(2, attempts(host, id));
        assertEquals(0, finalAnswers(host));
    }

    /** While errors repeat at the next worker, a task with an error is answered and not retried. */
    @Test
    void taskThatWouldFailAnywhereIsAnsweredAtOnceAfterItsFirstError() {
        FakeHost host = new FakeHost().fleet(8);
        for (int i = 0; i < FAILED_TASKS; i++) {
            long failing = host.task(IDEMPOTENT);
            host.finished(failing, 0, AttemptOutcome.ERRED).finished(failing, 1, AttemptOutcome.ERRED);
        }
        long id = host.task(IDEMPOTENT);
        host.finished(id, 0, AttemptOutcome.ERRED);
        assertEquals(1, attempts(host, id));
        assertEquals(1, host.count("reject " + id + " "));
    }

    @Test
    void taskThatComesAtItsDeadlineIsAnsweredAtOnceAndNotSent() {
        FakeHost host = new FakeHost().fleet(4);
        long id = host.task(IDEMPOTENT, 0, LAST_TICK_MS);
        assertEquals(0, attempts(host, id));
        assertEquals(1, host.count("reject " + id + " "));
    }

    /**
     * The task may be retried and must not be rejected: only its deadline prevents another attempt. Its
     * client has a short timeout; the task before it counts as a late retry and is rejected on arrival.
     */
    @Test
    void nothingIsSentAfterTheDeadline() {
        FakeHost host = new FakeHost().fleet(4);
        host.task(KEYED, 0, SHORT_REMAINING_MS);
        long id = host.task(KEYED, 0, SHORT_REMAINING_MS);
        host.after(SHORT_REMAINING_MS - LAST_TICK_MS);
        int sent = attempts(host, id);
        assertTrue(sent > 0);
        for (int number = 0; number < sent; number++) {
            host.finished(id, number, AttemptOutcome.ERRED);
        }
        host.after(LATE_MS);
        assertEquals(sent, attempts(host, id));
        assertEquals(1, host.count("fail " + id + " "), "one final answer");
    }

    /** A list that does not arrive must not delay an answer beyond the deadline. */
    @Test
    void finalAnswerDoesNotWaitForTheEndpointList() {
        FakeHost host = new FakeHost().fleet(4);
        long id = host.task(NON_IDEMPOTENT);
        host.policy().onEndpointListAwaited(true);
        host.after(REMAINING_MS - LATE_MS);
        assertEquals(0, finalAnswers(host), "its attempt may still be answered");
        host.after(LATE_MS - LAST_TICK_MS);
        assertEquals(1, host.count("fail " + id + " "));
    }

    /** The known list may be outdated: a task whose attempt failed waits and is retried by the new list. */
    @Test
    void retryWaitsForTheEndpointList() {
        FakeHost host = new FakeHost().fleet(4);
        long id = host.task(IDEMPOTENT);
        host.policy().onEndpointListAwaited(true);
        host.finished(id, 0, AttemptOutcome.BROKEN);
        assertEquals(1, attempts(host, id));
        host.relist(1, true, 0);
        assertEquals(2, attempts(host, id));
    }

    private static int attempts(FakeHost host, long task) {
        return host.count("forward " + task + " ");
    }

    private static int finalAnswers(FakeHost host) {
        return host.count("fail") + host.count("reject");
    }
}
