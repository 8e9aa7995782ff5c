package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.lang.ref.WeakReference;
import org.junit.jupiter.api.Test;
import rampshift.TestPeers;
import rampshift.time.Moment;
import rampshift.time.Span;

/** The order in which tasks are decided. */
class TaskQueueTest {
    private final TaskQueue queue = new TaskQueue();

    /** Returns a new task that has arrived. */
    private Task task(long id) {
        TrafficType type = new TrafficType(1, 0, Span.ofMillis(100), 3, Span.ofMillis(5000),
                TrafficType.Effect.IDEMPOTENT, TrafficType.DeduplicationScope.ALL, Span.ZERO, null, null);
        TaskRequest request = new TaskRequest(0, 0, Span.ZERO, 1, 0, Span.ofMillis(5000));
        Task task = new Task(id, type, request, new Moment(0));
        queue.register(task);
        return task;
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
        queue.wakeUpAt(Moment.ofMillis(10));
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

    /**
     * Guards against keeping each task until its deadline, some 500 bytes: a client whose tasks end at once
     * fills a small heap.
     */
    @Test
    void aTaskThatHasEndedIsNotKeptUntilItsTimer() throws Exception {
        WeakReference<Task> ended = endedTaskWithTimer();
        TestPeers.until("the task is collected", () -> {
            System.gc();
            return ended.get() == null;
        });
        queue.enqueueDue(new Moment(10));
        assertNull(queue.poll());
    }

    private WeakReference<Task> endedTaskWithTimer() {
        Task task = task(1);
        queue.decideAt(new Moment(10), task);
        task.closed = true;
        queue.remove(task);
        return new WeakReference<>(task);
    }
}
