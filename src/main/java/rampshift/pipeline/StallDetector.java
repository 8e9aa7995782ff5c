package rampshift.pipeline;

import org.xnio.XnioIoThread;
import rampshift.time.Clock;
import rampshift.time.IoTimer;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Notices when the I/O thread stood still: stopped, or without processor time. What is read then may have
 * lain in the
 * socket all the while, and its time counts from when it came, not from when it was read: a dispatcher
 * stopped for 3 s
 * sent tasks on 0.2 s after their expiry. One beat every 100 ms.
 */
public final class StallDetector {
    private static final Span BEAT = Span.ofMillis(100);
    private static final Span LATE = Span.ofMillis(100);    // beyond that a beat tells of a stall

    private final XnioIoThread thread;
    private final Clock clock;
    private Moment last;
    private Moment stoodSince;
    private IoTimer timer;

    public StallDetector(XnioIoThread thread, Clock clock) {
        this.thread = thread;
        this.clock = clock;
        last = clock.now();
        beatLater();
    }

    private void beatLater() {
        timer = IoTimer.in(thread, BEAT, this::beat);
    }

    private void beat() {
        Moment now = clock.now();
        // Until a beat is in time again, what is read may still be of the time before.
        stoodSince = stood(now) ? last : null;
        last = now;
        beatLater();
    }

    private boolean stood(Moment now) {
        return now.since(last).longerThan(BEAT.plus(LATE));
    }

    /**
     * For how long, at the most, what is read now may have lain unread; ZERO where the thread was in time.
     */
    public Span maxUnreadTime() {
        Moment now = clock.now();
        Moment since = stood(now) ? last : stoodSince;
        return since == null ? Span.ZERO : now.since(since);
    }

    /** Gives back the timer. */
    public void close() {
        timer.cancel();
    }
}
