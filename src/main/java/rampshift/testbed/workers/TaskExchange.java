package rampshift.testbed.workers;

import org.xnio.XnioExecutor;
import rampshift.eventlog.EventClock;
import rampshift.testbed.wire.FaultyConnection;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Sends the response to one task: a JSON object per state of the task, each in a chunk of its own; the last
 * one holds the result. Used on the I/O thread only.
 */
final class TaskExchange {
    private static final double PROGRESS_SCALE = 1000;

    private final WorkerContext context;
    private final FaultyConnection connection;
    private final Job job;
    private final Moment receivedAt;
    /** Whether a fault suppresses the response. */
    private final boolean silent;
    private boolean headSent;
    private boolean ended;
    private XnioExecutor.Key progressTimer;

    TaskExchange(WorkerContext context, FaultyConnection connection, Job job, Moment receivedAt,
            boolean silent) {
        this.context = context;
        this.connection = connection;
        this.job = job;
        this.receivedAt = receivedAt;
        this.silent = silent;
    }

    Job job() {
        return job;
    }

    /** Reports that the task has started, and then its progress at the interval of the plan. */
    void sendStarted() {
        sendState("\"started\"");
        scheduleProgress();
    }

    private void scheduleProgress() {
        Span interval = context.fleet().plan().workers().progress();
        if (interval.micros() > 0) {
            progressTimer = context.fleet().runAfter(interval, this::sendProgress);
        }
    }

    private void sendProgress() {
        if (ended || connection.isClosed()) {
            return;
        }
        if (!context.faults().isHanging()) {
            context.model().advance(EventClock.now());
            double share = Math.round(job.completedShare() * PROGRESS_SCALE) / PROGRESS_SCALE;
            sendState("\"running\",\"share\":" + share);
        }
        scheduleProgress();
    }

    /** Reports that the task has failed. */
    void sendFailure(Moment now) {
        context.events().taskFailed(now, job.task());
        if (headSent) {
            sendState("\"failed\"" + loadReportMember(now));
            send(WorkerResponses.LAST_CHUNK);
        } else {
            send(WorkerResponses.SERVER_ERROR);
        }
    }

    /**
     * Sends the result. It contains the uid of the worker and the microseconds from receipt to completion, so
     * that the latency added by the dispatcher can be separated from the worker's own time.
     *
     * @param truncated whether to send only the first half of the last part of the response
     */
    void sendResult(Moment now, boolean truncated) {
        String uid = context.identity().uid();
        String transactionId = job.task().transactionId();
        String result = uid + "/" + transactionId + "/" + now.since(receivedAt).micros();
        context.events().taskCompleted(now, job.task(), result);
        sendHead();
        String lastPart = stateChunk("\"done\"" + loadReportMember(now) + ",\"result\":\"" + result + "\"")
                + WorkerResponses.LAST_CHUNK;
        send(truncated ? lastPart.substring(0, lastPart.length() / 2) : lastPart);
    }

    /** Stops sending progress; must be called when the response or its connection has ended. */
    void end() {
        ended = true;
        if (progressTimer != null) {
            progressTimer.remove();
        }
    }

    /** Sends a state, followed by any further members of the JSON object. */
    private void sendState(String state) {
        sendHead();
        send(stateChunk(state));
    }

    private String stateChunk(String state) {
        return WorkerResponses.chunk("{\"id\":\"" + job.task().transactionId() + "\",\"from\":\""
                + context.identity().uid() + "\",\"state\":" + state + "}\n");
    }

    private String loadReportMember(Moment now) {
        return context.inlineReport(now).map(report -> ",\"load\":" + report).orElse("");
    }

    private void sendHead() {
        if (!headSent) {
            headSent = true;
            send(WorkerResponses.CHUNKED_HEAD);
        }
    }

    private void send(String text) {
        if (!silent) {
            connection.write(text);
        }
    }
}
