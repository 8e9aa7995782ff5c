package rampshift.time;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;

/**
 * A timer on an I/O thread that surely does not ring once it is off, nor twice. XNIO hands all timers that
 * are due to its
 * queue in one go, and one that another of them removes runs all the same: a watch was broken off for the
 * time of a call
 * that had just been answered, and the last byte of an assignment was looked after that had been called off.
 */
public final class IoTimer {
    private final XnioExecutor.Key key;
    private Runnable rings;

    private IoTimer(XnioExecutor thread, long time, TimeUnit unit, Runnable rings) {
        this.rings = rings;
        key = thread.executeAfter(this::ring, time, unit);
    }

    /** To be called, as {@link #cancel} is, on that thread. */
    public static IoTimer in(XnioExecutor thread, Span span, Runnable rings) {
        return new IoTimer(thread, span.micros(), TimeUnit.MICROSECONDS, rings);
    }

    /** Never early: XNIO drops what is left of a millisecond. */
    public static IoTimer notBefore(XnioExecutor thread, Span span, Runnable rings) {
        return new IoTimer(thread, wholeMillis(span), TimeUnit.MILLISECONDS, rings);
    }

    static long wholeMillis(Span span) {
        return (Math.max(0, span.micros()) + 999) / 1000;
    }

    private void ring() {
        Runnable now = rings;
        rings = null;
        if (now != null) {
            now.run();
        }
    }

    /** May be called again, and after it has rung. */
    public void cancel() {
        rings = null;
        key.remove();
    }
}
