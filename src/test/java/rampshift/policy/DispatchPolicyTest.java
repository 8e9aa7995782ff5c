package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rampshift.policy.FakeHost.IDEMPOTENT;
import static rampshift.policy.FakeHost.NON_IDEMPOTENT;

import org.junit.jupiter.api.Test;

/** The policy as a whole: one final answer for each task. */
class DispatchPolicyTest {
    @Test
    void theSameInputGivesTheSameOutput() {
        assertEquals(new FakeHost().fleet(5).runTasks(IDEMPOTENT, 50, 30).decisions,
                new FakeHost().fleet(5).runTasks(IDEMPOTENT, 50, 30).decisions);
    }

    @Test
    void aTaskWithoutAnAnswerFailsBeforeItsDeadline() {
        FakeHost host = new FakeHost().fleet(1);
        long id = host.task(NON_IDEMPOTENT);
        host.after(4990);
        assertEquals(0, host.count("fail"));
        host.after(9);
        assertEquals(1, host.count("fail " + id + " "));
        host.finished(id, 0, AttemptOutcome.TIMED_OUT).after(50);
        assertEquals(1, host.count("fail"));
        assertEquals(1, host.count("forward"));
    }

    @Test
    void nothingIsSentAfterTheClientDisconnects() {
        FakeHost host = new FakeHost().fleet(2);
        long id = host.task(IDEMPOTENT);
        int sent = host.count("forward");
        host.policy().onClientDisconnected(id);
        host.decide().finished(id, 0, AttemptOutcome.ERRED).after(6000);
        assertEquals(sent, host.count("forward"));
        assertEquals(0, host.count("reject") + host.count("fail"));
    }

    @Test
    void eventsOfUnknownTasksAndAttemptsChangeNothing() {
        FakeHost host = new FakeHost().fleet(2);
        long id = host.task(NON_IDEMPOTENT);
        host.started(99, 0).started(id, 7).finished(99, 0, AttemptOutcome.FINISHED).finished(id, -1,
                AttemptOutcome.ERRED);
        host.policy().onProbeResult(77, true);
        host.policy().onLoadReport(77, 1, 1, 1, 1);
        host.policy().onAttemptProgress(id, 9, 0.5);
        host.finished(id, 0, AttemptOutcome.FINISHED).finished(id, 0, AttemptOutcome.ERRED).after(10);
        assertEquals(1, host.count("forward"));
    }

    /** Guards against a shutdown that fails all tasks in flight, also those that were never sent. */
    @Test
    void atShutdownATaskIsRejectedWhereThatIsAllowed() {
        FakeHost host = new FakeHost().fleet(2);
        long running = host.task(NON_IDEMPOTENT);
        long repeatable = host.task(IDEMPOTENT);
        host.policy().onEndpointListAwaited(true);
        long waiting = host.task(NON_IDEMPOTENT);
        for (long id : new long[]{running, repeatable, waiting}) {
            host.policy().onShutdown(id);
        }
        host.decide();
        assertEquals(1, host.count("fail " + running));
        assertEquals(1, host.count("reject " + repeatable + " "));
        assertEquals(1, host.count("reject " + waiting + " "));
        assertEquals(1, host.count("cancel " + running + " 0"));
    }
}
