package rampshift.testbed.workers;

import java.io.IOException;
import java.util.Optional;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import rampshift.eventlog.EventClock;
import rampshift.testbed.wire.FaultyConnection;
import rampshift.testbed.wire.Message;
import rampshift.testbed.wire.MessageReader;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * A connection from a dispatcher to a worker, with one task at a time. Used on the I/O thread only.
 */
final class WorkerConnection implements FaultyConnection.Listener {
    /** The delay of a reset within a response, during which the truncated response is sent. */
    private static final Span RESET_DELAY = Span.ofMillis(2);

    private final EmulatedWorker worker;
    private final WorkerContext context;
    private final Link link;
    private final FaultyConnection connection;
    private final MessageReader reader = new MessageReader(this::onRequest);
    /** The exchange of the task in progress; null if there is none. */
    private TaskExchange exchange;
    private Moment idleSince = EventClock.now();
    private boolean awaitsFirstTask = true;
    private XnioExecutor.Key idleTimer;

    /** Wraps an accepted connection; {@link #start} begins to read. */
    WorkerConnection(EmulatedWorker worker, WorkerContext context, Link link, StreamConnection peer) {
        this.worker = worker;
        this.context = context;
        this.link = link;
        connection = new FaultyConnection(peer, context.fleet().thread(), this);
        connection.setDelay(link.delay());
        scheduleIdleCheck();
    }

    void start() {
        link.addConnection(connection);
        connection.start();
    }

    @Override
    public void onBytes(byte[] bytes, int count) {
        Moment now = EventClock.now();
        boolean requestBegins = !reader.isInMessage();
        if (requestBegins && context.happens(context.faults().resetBeforeTaskProbability())) {
            context.events().requestReset(now, link.dispatcher());
            reset();
            return;
        }
        try {
            Moment sentAt = context.fleet().stallMonitor().earliestSendTime(connection.earliestSendTime());
            reader.read(bytes, 0, count, sentAt);
        } catch (IOException e) {
            context.events().requestInvalid(now, link.dispatcher());
            close();
        }
    }

    private void onRequest(Message request) {
        Moment now = EventClock.now();
        idleSince = now;
        if (request.method().equals("GET")) {
            onProbe(request, now);
            return;
        }
        Span setupCost = awaitsFirstTask ? context.fleet().plan().workers().connectionCost() : Span.ZERO;
        awaitsFirstTask = false;
        if (setupCost.micros() > 0) {
            context.fleet().runAfter(setupCost, () -> {
                if (!connection.isClosed()) {
                    onTask(request, EventClock.now());
                }
            });
        } else {
            onTask(request, now);
        }
    }

    private void onProbe(Message request, Moment now) {
        if (context.faults().isHanging()) {
            return;
        }
        Optional<String> report = context.reports().current(context.model(), now);
        context.events().probed(now, link.dispatcher());
        connection.write(switch (request.target()) {
            case "/status/load" -> WorkerResponses.ok(report.orElse(""));
            case "/health" -> WorkerResponses.ok("");
            default -> WorkerResponses.NOT_FOUND;
        });
    }

    private void onTask(Message request, Moment now) {
        Optional<Task> read = context.fleet().taskReader().read(request);
        if (read.isEmpty() || exchange != null) {
            context.events().requestInvalid(now, link.dispatcher());
            connection.write(WorkerResponses.BAD_REQUEST);
            return;
        }
        Task task = read.get();
        String type = context.fleet().plan().types().get(task.type()).name();
        context.events().taskReceived(now, link.dispatcher(), task, type, request.startedAt(),
                context.model().isCold());
        context.fleet().onTaskReceived().run();
        boolean silent = context.happens(context.faults().silenceProbability());
        connection.setByteInterval(context.faults().byteInterval());
        Job job = new Job(task);
        exchange = new TaskExchange(context, connection, job, now, silent);
        if (worker.offer(job, now) == EmulatedWorker.Admission.REJECTED) {
            exchange = null;
            context.events().taskRejected(now, task);
            connection.write(WorkerResponses.rejected(context.inlineReport(now).orElse("")));
        }
    }

    /** Returns whether this connection serves a job. */
    boolean serves(Job job) {
        return exchange != null && exchange.job() == job;
    }

    /** Reports to the dispatcher that the task has started. */
    void sendStarted() {
        exchange.sendStarted();
    }

    /** Ends the task with a failure. */
    void fail(Moment now) {
        exchange.sendFailure(now);
        endExchange();
        idleSince = now;
    }

    /** Ends the task with its result; a fault may truncate the response. */
    void complete(Moment now) {
        boolean shouldReset = context.happens(context.faults().resetWithinResponseProbability());
        boolean shouldTruncate =
                !shouldReset && context.happens(context.faults().truncatedResponseProbability());
        exchange.sendResult(now, shouldReset || shouldTruncate);
        endExchange();
        if (shouldReset) {
            context.fleet().runAfter(RESET_DELAY, this::reset);
            return;
        }
        if (shouldTruncate) {
            connection.closeAfterWrites();
        }
        idleSince = now;
    }

    private void endExchange() {
        if (exchange != null) {
            exchange.end();
            exchange = null;
        }
    }

    private void scheduleIdleCheck() {
        Span idleTimeout = context.fleet().plan().workers().idle();
        idleTimer = context.fleet().runAfter(Span.ofMillis(idleTimeout.millis() / 2), () -> {
            boolean isIdle = exchange == null && !reader.isInMessage();
            if (isIdle && !idleTimeout.longerThan(EventClock.now().since(idleSince))) {
                close();
            } else {
                scheduleIdleCheck();
            }
        });
    }

    @Override
    public void onClosed(boolean reset) {
        Job abandoned = exchange == null ? null : exchange.job();
        release();
        if (abandoned != null) {
            worker.abandon(abandoned);
        }
    }

    /** Closes the connection without a reset. */
    void close() {
        connection.close();
        release();
    }

    /** Closes the connection with a reset. */
    void reset() {
        connection.reset();
        release();
    }

    /** Cancels the timers and unregisters the connection; the only method that does so. */
    void release() {
        link.removeConnection(connection);
        worker.remove(this);
        idleTimer.remove();
        endExchange();
    }
}
