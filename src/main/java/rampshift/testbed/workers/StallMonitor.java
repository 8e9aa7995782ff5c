package rampshift.testbed.workers;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import rampshift.eventlog.EventClock;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Tells when the workers' own thread stood still, as on a machine that others use: what it reads right after
 * may have
 * been written at any time since, and a send is not to count as late for that. All on that thread.
 */
final class StallMonitor {
    private static final Span EVERY = Span.ofMillis(5);
    private static final Span STILL = Span.ofMillis(20);    // between two beats: it stood still
    private static final Span READS_OFF = Span.ofMillis(20);    // after it went on

    private final XnioIoThread thread;
    private XnioExecutor.Key next;
    private Moment last;
    private Moment stoodFrom;
    private Moment stoodTo;

    StallMonitor(XnioIoThread thread) {
        this.thread = thread;
        beat();
    }

    private void beat() {
        beat(EventClock.now());
        next = thread.executeAfter(this::beat, EVERY.micros(), TimeUnit.MICROSECONDS);
    }

    void stop() {
        next.remove();
    }

    private void beat(Moment now) {
        if (last != null && now.since(last).longerThan(STILL)) {
            stoodFrom = last;
            stoodTo = now;
        }
        last = now;
    }

    /** When what is read at that moment may have been written, at the earliest. */
    Moment earliest(Moment read) {
        if (read.since(last).longerThan(STILL)) {
            return last;
        }
        boolean readsOff =
                stoodTo != null && !read.before(stoodFrom) && READS_OFF.longerThan(read.since(stoodTo));
        return readsOff ? stoodFrom : read;
    }
}
