package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import org.junit.jupiter.api.Test;
import rampshift.time.Moment;
import rampshift.time.Span;

/** The order in which tasks are decided. */
class TaskQueueTest {
    private final TaskQueue queue = new TaskQueue();

    private static Task task(long id) {
        TrafficType type = new TrafficType(1, 0, Span.ofMillis(100), 3, Span.ofMillis(5000),
                TrafficType.Effect.IDEMPOTENT, TrafficType.DeduplicationScope.ALL, Span.ZERO, null, null);
        return new Task(id, type, new TaskRequest(0, 0, Span.ZERO, 1, 0, Span.ofMillis(5000)), new Moment(0));
    }

    @Test
    void aTaskIsQueuedOnceHoweverOftenItIsEnqueued() {
        Task first = task(1);
        Task second = task(2);
        queue.enqueue(first);
        queue.enqueue(second);
        queue.enqueue(first);
        assertSame(first, queue.poll());
        assertSame(second, queue.poll());
        assertNull(queue.poll());
    }

    /**
     * Each review schedules the next one: with a timer for each call, two calls would be two reviews from
     * then on.
     */
    @Test
    void aTaskIsReviewedOnceHoweverOftenItsReviewIsRequested() {
        Task task = task(1);
        Moment start = new Moment(0);
        queue.reviewAt(new Moment(10), start, task);
        queue.reviewAt(new Moment(12), start, task);
        queue.enqueueDue(new Moment(10));
        assertSame(task, queue.poll());
        queue.reviewAt(new Moment(20), new Moment(10), task);
        queue.enqueueDue(new Moment(19));
        assertNull(queue.poll());
        queue.enqueueDue(new Moment(20));
        assertSame(task, queue.poll());
    }

    @Test
    void anEarlierReviewIsNotPostponed() {
        Task task = task(1);
        queue.reviewAt(new Moment(20), new Moment(0), task);
        queue.reviewAt(new Moment(10), new Moment(0), task);
        queue.enqueueDue(new Moment(10));
        assertSame(task, queue.poll());
    }

    @Test
    void aTaskEnqueuedFirstIsDecidedBeforeAllOthers() {
        Task first = task(1);
        Task second = task(2);
        queue.enqueue(first);
        queue.enqueueFirst(second);
        assertSame(second, queue.poll());
        assertSame(first, queue.poll());
    }

    @Test
    void closedTasksAreSkipped() {
        Task task = task(1);
        queue.enqueue(task);
        task.closed = true;
        assertNull(queue.poll());
    }

    @Test
    void parkedTasksWaitUntilTheyAreReleased() {
        Task task = task(1);
        queue.park(task);
        assertNull(queue.poll());
        queue.unparkAll();
        assertSame(task, queue.poll());
    }

    @Test
    void tasksAreEnqueuedWhenTheirTimersAreDue() {
        Task task = task(1);
        queue.decideAt(Moment.ofMillis(20), task);
        queue.decideAt(Moment.ofMillis(10), null);
        assertEquals(Moment.ofMillis(10), queue.nextTimer());
        queue.enqueueDue(Moment.ofMillis(19));
        assertNull(queue.poll());
        queue.enqueueDue(Moment.ofMillis(20));
        assertSame(task, queue.poll());
    }

    @Test
    void attemptsAreFoundByTheirNumbers() {
        Task task = task(5);
        queue.register(task);
        Attempt attempt = new Attempt(task, new Worker(1), new Moment(0), Span.ZERO, Span.ZERO);
        attempt.markSent();
        assertSame(attempt, queue.find(5, 0));
        assertNull(queue.find(5, 1));
        assertNull(queue.find(5, -1));
        assertNull(queue.find(6, 0));
    }

    @Test
    void anAttemptThatHasEndedMeanwhileIsNotCancelled() {
        Attempt attempt = new Attempt(task(1), new Worker(1), new Moment(0), Span.ZERO, Span.ZERO);
        attempt.markSent();
        queue.cancel(attempt);
        attempt.end(false);
        assertNull(queue.pollCancel());
    }
}
