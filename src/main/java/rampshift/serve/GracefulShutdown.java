package rampshift.serve;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Stops a dispatcher after SIGTERM, in phases that end before SIGKILL. Existing connections are served for as
 * long as possible, since clients that lose them may find no other dispatcher, and are then closed between
 * tasks. Used on the I/O thread only.
 */
final class GracefulShutdown {
    /**
     * Time from SIGTERM to SIGKILL, in addition to the longest deadline up to {@link #MAX_COUNTED_DEADLINE}.
     */
    private static final Span KILL_DELAY = Span.ofMillis(700);
    private static final Span MAX_COUNTED_DEADLINE = Span.ofMillis(3000);
    /**
     * Time before SIGKILL from which the deadlines of new tasks are limited to the start of the FAILING
     * phase.
     */
    private static final Span SHORT_TASKS_BEFORE_KILL = Span.ofMillis(1200);
    /** Time before SIGKILL from which no task is admitted. */
    private static final Span CLOSE_BEFORE_KILL = Span.ofMillis(350);
    /** Time before SIGKILL from which tasks in flight are failed. */
    private static final Span FAIL_BEFORE_KILL = Span.ofMillis(250);
    /**
     * Time before SIGKILL from which the dispatcher stops as soon as no task is in flight, even if
     * connections are open.
     */
    private static final Span EXIT_BEFORE_KILL = Span.ofMillis(120);
    /** Minimum time after SIGTERM for which new clients may still connect. */
    private static final Span MIN_DRAIN = Span.ofMillis(600);
    /**
     * The drain ends early once no connection is open and no client has connected or disconnected for this
     * time.
     */
    private static final Span QUIET_TIME = Span.ofMillis(250);
    /**
     * Time after the close of a connection during which a client may resend a request that crossed the close.
     */
    private static final Span RESEND_TIME = Span.ofMillis(150);
    private static final Span POLL_INTERVAL = Span.ofMillis(20);

    /** The phases of the shutdown. FAILING includes the actions of CLOSING. */
    private enum Phase {
        /** Requests are admitted as before, but from {@link #shortTasksFrom} on with limited deadlines. */
        DRAINING,
        /** Requests are rejected, and connections are closed between requests. */
        CLOSING,
        /** Tasks in flight are failed, or rejected if their clients may retry them. */
        FAILING,
        /** The shutdown is complete. */
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
    private final Moment exitAt;
    private Phase phase = Phase.DRAINING;

    /** Schedules the phases from now on; {@code onStopped} is run at the end. */
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
        exitAt = killAt.minus(EXIT_BEFORE_KILL);
    }

    /** Runs the first step, which schedules the further ones. */
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
            dispatcher.stopAcceptingRequests();
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
                && dispatcher.clientListener.isUnchangedFor(QUIET_TIME);
    }

    /**
     * Returns whether no task is in flight, and either no client can still send one or no time is left for
     * it.
     */
    private boolean isIdle() {
        boolean clientsGone = dispatcher.clientListener.isEmpty()
                && dispatcher.clientListener.isUnchangedFor(RESEND_TIME);
        return dispatcher.tasks.size() == 0 && (clientsGone || !clock.now().before(exitAt));
    }
}
