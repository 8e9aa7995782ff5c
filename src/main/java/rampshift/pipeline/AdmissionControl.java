package rampshift.pipeline;

import rampshift.counters.Counters;
import rampshift.log.Log;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Second stage: bounds what is in hand. Full, it bounces: harmless, since nothing was sent for the task. */
public final class AdmissionControl {
    private final int mostTasks;
    private final long mostBytes;
    private final Clock clock;
    private final TaskRegistry book;
    private final Responder relay;
    private final PolicyHost next;
    private Moment shortFrom;
    private Moment end;
    private boolean closed;

    public AdmissionControl(int mostTasks, long mostBytes, Clock clock, TaskRegistry book, Responder relay,
            PolicyHost next) {
        this.mostTasks = mostTasks;
        this.mostBytes = mostBytes;
        this.clock = clock;
        this.book = book;
        this.relay = relay;
        this.next = next;
    }

    /** The dispatcher ends then: from a moment on tasks are taken only if they are likely to end before. */
    public void limitDeadlines(Moment shortFrom, Moment end) {
        this.shortFrom = shortFrom;
        this.end = end;
    }

    /** Nothing more is taken: it would not end before the dispatcher does. */
    public void close() {
        closed = true;
    }

    void task(InFlightTask task) {
        if (closed) {
            book.count(Counters.Name.TASKS_REJECTED_STOPPING);
            relay.bounced(task, Span.ZERO);
            return;
        }
        if (!clock.now().before(task.expiry)) {
            book.count(Counters.Name.TASKS_REJECTED_LATE);    // it lay unread while this process stood still
            relay.bounced(task, Span.ZERO);
            return;
        }
        if (book.size() >= mostTasks || book.bytes() + task.bytes() > mostBytes) {
            Log.warn("full", "tasks", book.size(), "bytes", book.bytes());
            book.count(Counters.Name.TASKS_REJECTED_OVERLOAD);
            relay.bounced(task, Span.ZERO);
            return;
        }
        if (end != null && !clock.now().before(shortFrom)) {
            task.endBy(end);
        }
        book.taken(task);
        next.task(task);
    }
}
