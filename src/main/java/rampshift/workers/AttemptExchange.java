package rampshift.workers;

import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import rampshift.connections.ResponseHead;
import rampshift.counters.Counters;
import rampshift.policy.AttemptOutcome;
import rampshift.time.IoTimer;
import rampshift.time.Span;

/**
 * One attempt at a task: its request to a worker and the response, until the outcome is known. Without a
 * response, the task never ran if the last byte of the request was not written, and may have run otherwise.
 */
public final class AttemptExchange extends WorkerExchange {
    /** The bounds of the delay of the last byte, as shares of the dial timeout. */
    private static final double MIN_LAST_BYTE_DELAY_SHARE = 0.02;
    private static final double MAX_LAST_BYTE_DELAY_SHARE = 0.1;
    /**
     * The time for which a connection must have been idle before a non-idempotent task may use it, as a
     * share of the dial timeout.
     */
    private static final double MIN_IDLE_SHARE = 0.1;

    private final AttemptRequest request;
    private final AttemptListener listener;
    private final ProgressReader progressReader;
    private final IoTimer timeoutTimer;
    private boolean requestWritten;
    private int status;

    AttemptExchange(ConnectionPool pool, WorkerEndpoint endpoint, AttemptRequest request,
            AttemptListener listener) {
        super(pool, endpoint);
        this.request = request;
        this.listener = listener;
        progressReader = new ProgressReader(request.taskId(), pool.loadReportReader());
        timeoutTimer = request.timeout().micros() <= 0 ? null
                : IoTimer.timeout(pool.thread(), request.timeout(), pool.readBarrier(),
                        () -> cancel(AttemptOutcome.TIMED_OUT));
    }

    /** Cancels the attempt and closes its connection. Reports the outcome unless one was reported before. */
    public void cancel() {
        cancel(AttemptOutcome.CALLED_OFF);
    }

    private void cancel(AttemptOutcome outcomeIfWritten) {
        if (!isResultReported()) {
            pool().counters().add(Counters.Name.ATTEMPTS_CANCELED);
            finish(requestWritten ? outcomeIfWritten : AttemptOutcome.NOT_SENT);
        }
    }

    @Override
    ByteBuffer[] message() {
        return request.message().get();
    }

    @Override
    boolean requiresNewConnection() {
        return request.nonIdempotent() && pool().hasRecentStaleConnection();
    }

    /**
     * Returns the minimum idle time for a non-idempotent task. A worker may send a late duplicate of its
     * rejection of an earlier task. On a connection that is reused at once the duplicate would be taken for
     * the response to this request while the task runs.
     */
    @Override
    Span minIdleTime() {
        return request.nonIdempotent() ? pool().dialTimeout().times(MIN_IDLE_SHARE) : Span.ZERO;
    }

    /**
     * Returns the delay for a non-idempotent task, in which a reset of the connection can arrive: that takes
     * at least as long as the fastest response. Without the delay, each idle connection that had been reset
     * failed a non-idempotent task.
     */
    @Override
    Span lastByteDelay() {
        if (!request.nonIdempotent()) {
            return Span.ZERO;
        }
        Span dialTimeout = pool().dialTimeout();
        return endpoint().shortestResponseTime().orLonger(dialTimeout.times(MIN_LAST_BYTE_DELAY_SHARE))
                .orShorter(dialTimeout.times(MAX_LAST_BYTE_DELAY_SHARE));
    }

    /**
     * Checks the attempt again: while the connection was opened, the worker may have begun to drain or have
     * moved, the deadline may have passed, and the client may have left.
     */
    @Override
    public boolean mayWriteFirstByte() {
        pool().runFirstByteHook();
        boolean allowed =
                endpoint().isReady() && isCurrent() && isBeforeDeadline() && listener.isClientWaiting();
        if (!allowed) {
            pool().counters().add(Counters.Name.ATTEMPTS_WITHHELD);
            finish(AttemptOutcome.NOT_SENT);
        }
        return allowed;
    }

    @Override
    public boolean mayWriteLastByte() {
        boolean allowed = isBeforeDeadline() && listener.isClientWaiting();
        if (!allowed) {
            finish(AttemptOutcome.NOT_SENT);
        }
        return allowed;
    }

    /**
     * Returns whether the deadline has not passed. It may pass while the connection is opened or the last
     * byte is delayed, for example if this process is suspended.
     */
    private boolean isBeforeDeadline() {
        return pool().now().before(request.deadline());
    }

    @Override
    public void onRequestWritten() {
        requestWritten = true;
    }

    @Override
    void onNoConnectionAvailable() {
        finish(AttemptOutcome.NOT_SENT);
    }

    @Override
    public void onUnreachable(String reason) {
        pool().counters().add(Counters.Name.DIALS_FAILED);
        finish(AttemptOutcome.NO_CONNECTION);
    }

    @Override
    public void onHead(ResponseHead head) {
        status = head.status();
        endpoint().recordResponseTime(timeToFirstByte());
        if (status == StatusCodes.OK) {
            return;
        }
        reportLoad(head.field("X-Pressure"));
        boolean rejected = isRejection(head);
        if (!rejected && status != StatusCodes.INTERNAL_SERVER_ERROR) {
            reportMalformedResponse("status " + status);
        }
        reportOutcome(rejected ? AttemptOutcome.FULL : AttemptOutcome.ERRED, null);
    }

    private static boolean isRejection(ResponseHead head) {
        boolean unavailable = head.status() == StatusCodes.SERVICE_UNAVAILABLE
                || head.status() == StatusCodes.GATEWAY_TIME_OUT;
        return unavailable && "1".equals(head.field("X-Turned-Away"));
    }

    private void reportLoad(String headerValue) {
        if (headerValue == null) {
            return;
        }
        try {
            reportLoad(pool().loadReportReader().read(headerValue));
        } catch (IOException e) {
            reportMalformedResponse("a load report that is not valid JSON");
        }
    }

    private void reportLoad(LoadReport load) {
        if (load != null) {
            listener.onLoadReport(endpoint().number(), load);
        }
    }

    @Override
    public void onBody(byte[] bytes, int offset, int length) {
        if (status != StatusCodes.OK) {
            return;
        }
        try {
            for (int i = offset; i < offset + length && !isResultReported(); i++) {
                handle(progressReader.read(bytes[i]));
            }
        } catch (MalformedProgressException e) {
            finishMalformed(e);
        }
    }

    @Override
    public void onComplete() {
        if (!isResultReported()) {
            try {
                handle(progressReader.endLine());
            } catch (MalformedProgressException e) {
                finishMalformed(e);
            }
        }
        finish(AttemptOutcome.BROKEN);
    }

    @Override
    int heldBodyBytes() {
        return progressReader.heldBytes();
    }

    /** Ends the attempt as one that this dispatcher has stopped waiting for: it may have run. */
    @Override
    void onResponseDropped() {
        finish(AttemptOutcome.TIMED_OUT);
    }

    private void handle(ProgressMessage message) {
        if (message == null) {
            return;
        }
        if (message.workerUid() != null && !message.workerUid().equals(endpoint().uid())) {
            reportMalformedResponse("a line with the uid of worker " + message.workerUid());
        }
        reportLoad(message.load());
        switch (message.state()) {
            case STARTED -> listener.onStarted();
            case RUNNING -> reportProgress(message.progressShare());
            case DONE -> reportOutcome(AttemptOutcome.FINISHED, message.result());
            case FAILED -> reportOutcome(AttemptOutcome.ERRED, null);
            case RETURNED -> reportOutcome(AttemptOutcome.FULL, null);
            case LOST -> reportOutcome(AttemptOutcome.BROKEN, null);
            default -> reportMalformedResponse("the unknown task state " + message.stateName());
        }
    }

    private void reportProgress(double share) {
        if (share > 0 && share <= 1) {
            listener.onProgress(share);
        }
    }

    @Override
    public void onFailure(String reason) {
        boolean stale = status == 0 && reportIfStale();
        finish(failureOutcome(stale));
    }

    /**
     * Returns the outcome of a connection failure. The failure of a stale connection has its own outcome if
     * the request was written, since it says nothing about the health of the worker: counted as a failure of
     * the worker, it led to the ejection of the best workers.
     */
    private AttemptOutcome failureOutcome(boolean stale) {
        if (requestWritten) {
            return stale ? AttemptOutcome.STALE : AttemptOutcome.BROKEN;
        }
        return stale ? AttemptOutcome.NOT_SENT : AttemptOutcome.NO_CONNECTION;
    }

    private void reportMalformedResponse(String reason) {
        pool().counters().add(Counters.Name.MALFORMED_RESPONSES);
        logMalformedResponse(reason);
    }

    private void finishMalformed(MalformedProgressException cause) {
        reportMalformedResponse(cause.getMessage());
        finish(cause.outcome());
    }

    /** Reports the outcome while the rest of the response is still to come. */
    private void reportOutcome(AttemptOutcome outcome, byte[] result) {
        if (markResultReported()) {
            stopTimer();
            linger();
            listener.onOutcome(outcome, result);
        }
    }

    /** Releases the connection, and reports the outcome unless one was reported before. */
    private void finish(AttemptOutcome outcome) {
        boolean first = markResultReported();
        release();
        if (first) {
            stopTimer();
            listener.onOutcome(outcome, null);
        }
    }

    private void stopTimer() {
        if (timeoutTimer != null) {
            timeoutTimer.cancel();
        }
    }
}
