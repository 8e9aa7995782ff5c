package rampshift.serve;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Stops a dispatcher after SIGTERM, phase by phase, before SIGKILL would. It serves on the connections
 * there are for as long as it can, since clients that lose them may find no other dispatcher, and then ends
 * between tasks. All on the I/O thread.
 */
final class GracefulShutdown {
    /** SIGKILL follows SIGTERM after the longest deadline, counted up to a bound, and this. */
    private static final Span KILL_DELAY = Span.ofMillis(700);
    private static final Span MAX_COUNTED_DEADLINE = Span.ofMillis(3000);
    /** Before SIGKILL: from then on tasks are admitted only where they are likely to end sooner. */
    private static final Span SHORT_TASKS_BEFORE_KILL = Span.ofMillis(1200);
    /** Before SIGKILL: from then on no task is admitted. */
    private static final Span CLOSE_BEFORE_KILL = Span.ofMillis(350);
    /** Before SIGKILL: from then on tasks in flight are failed. */
    private static final Span FAIL_BEFORE_KILL = Span.ofMillis(250);
    /**
     * Before SIGKILL: from then on it ends as soon as no task is in flight, whatever connections there are.
     */
    private static final Span LEAVE_BEFORE_KILL = Span.ofMillis(120);
    /** For so long after SIGTERM new clients still connect. */
    private static final Span MIN_DRAIN = Span.ofMillis(600);
    /** With no connection left and no new one for this long, the drain ends early. */
    private static final Span NO_NEW_CLIENTS = Span.ofMillis(250);
    /**
     * For so long after a connection was closed between requests, a request that crossed the close may come
     * again.
     */
    private static final Span CROSSED_CLOSE = Span.ofMillis(150);
    private static final Span POLL_INTERVAL = Span.ofMillis(20);

    /** What is done at a time; each phase includes what the one before does. */
    private enum Phase {
        /** Requests are admitted as before; from {@link #shortTasksFrom} on only those that end in time. */
        DRAINING,
        /** Requests are rejected, and connections closed between requests. */
        CLOSING,
        /** Tasks in flight are failed, or rejected where they never ran. */
        FAILING,
        /** All is done. */
        STOPPED
    }

    private final XnioIoThread thread;
    private final Clock clock;
    private final Dispatcher dispatcher;
    private final Runnable onStopped;
    private final Moment drainAtLeastUntil;
    private final Moment shortTasksFrom;
    private final Moment closeAt;
    private final Moment failAt;
    private final Moment leaveAt;
    private Phase phase = Phase.DRAINING;

    /** Plans the phases from now on; {@code onStopped} is run once nothing is in flight any more. */
    GracefulShutdown(XnioIoThread thread, Clock clock, Dispatcher dispatcher, Runnable onStopped) {
        this.thread = thread;
        this.clock = clock;
        this.dispatcher = dispatcher;
        this.onStopped = onStopped;
        Span countedDeadline = dispatcher.longestDeadline.orShorter(MAX_COUNTED_DEADLINE);
        Moment now = clock.now();
        Moment killAt = now.plus(countedDeadline).plus(KILL_DELAY);
        drainAtLeastUntil = now.plus(MIN_DRAIN);
        shortTasksFrom = killAt.minus(SHORT_TASKS_BEFORE_KILL);
        closeAt = killAt.minus(CLOSE_BEFORE_KILL);
        failAt = killAt.minus(FAIL_BEFORE_KILL);
        leaveAt = killAt.minus(LEAVE_BEFORE_KILL);
    }

    /** Takes the first step; further ones follow by themselves. */
    void start() {
        dispatcher.admission.limitDeadlines(shortTasksFrom, failAt);
        dispatcher.clientListener.beginShutdown();
        step();
    }

    private void step() {
        if (phase == Phase.DRAINING && isDrained()) {
            phase = Phase.CLOSING;
        }
        if (phase != Phase.DRAINING) {
            dispatcher.closeToRequests();
            if (!clock.now().before(failAt)) {
                phase = Phase.FAILING;
                dispatcher.policyHost.endAllTasks();
            }
            if (isIdle()) {
                phase = Phase.STOPPED;
                onStopped.run();
                return;
            }
        }
        thread.executeAfter(this::step, POLL_INTERVAL.micros(), TimeUnit.MICROSECONDS);
    }

    private boolean isDrained() {
        if (!clock.now().before(closeAt)) {
            return true;
        }
        return !clock.now().before(drainAtLeastUntil) && dispatcher.clientListener.connectionCount() == 0
                && dispatcher.clientListener.isUnchangedFor(NO_NEW_CLIENTS);
    }

    /** Whether no task is in flight, and no client may still send one for which there is time. */
    private boolean isIdle() {
        boolean clientsGone = dispatcher.clientListener.isEmpty()
                && dispatcher.clientListener.isUnchangedFor(CROSSED_CLOSE);
        return dispatcher.tasks.size() == 0 && (clientsGone || !clock.now().before(leaveAt));
    }
}
