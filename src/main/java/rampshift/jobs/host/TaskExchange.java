package rampshift.jobs.host;

import java.util.regex.Pattern;
import rampshift.connections.Dialer;
import rampshift.connections.ExchangeListener;
import rampshift.connections.HttpConnection;
import rampshift.connections.ResponseHead;
import rampshift.jobs.PeriodicJob.TaskOutcome;
import rampshift.leases.host.LeaseHost;
import rampshift.time.Span;

/**
 * Sends one task of a periodic job, as an HTTP client, to the listener of the same dispatcher, and reports
 * the outcome by the response. It checks that this dispatcher still holds the lease of the job immediately
 * before the first byte of the request is written. The request carries the fencing token of the lease, and
 * limits the time of the task so that the task ends before the lease expires.
 */
final class TaskExchange implements ExchangeListener, Dialer.DialListener {
    /** Receives the outcome of the task. */
    interface Listener {
        /** Reports the outcome, and the minimum delay of a retry. */
        void onEnded(TaskOutcome outcome, Span retryAfter);
    }

    /** Fraction of the lease's remaining time that a task may take. */
    private static final double MAX_SHARE_OF_REMAINING = 0.8;
    private static final Span DEFAULT_RETRY_AFTER = Span.ofMillis(200);
    private static final Pattern RETRY_AFTER_SECONDS = Pattern.compile("\\d{1,6}(\\.\\d{1,6})?");
    private static final double MILLIS_PER_SECOND = 1000;

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final TaskRequest request;
    private final LeaseHost leases;
    private final TaskClient client;
    private final Listener listener;
    private HttpConnection connection;
    private int status;
    private Span retryAfter = DEFAULT_RETRY_AFTER;
    private boolean firstByteWritten;

    TaskExchange(TaskRequest request, LeaseHost leases, TaskClient client, Listener listener) {
        this.request = request;
        this.leases = leases;
        this.client = client;
        this.listener = listener;
    }

    private String lease() {
        return request.settings().name();
    }

    @Override
    public void onConnected(HttpConnection established) {
        connection = established;
        Span remaining = leases.remaining(lease()).times(MAX_SHARE_OF_REMAINING);
        connection.exchange(this, request.encode(remaining.orShorter(request.settings().taskTimeout())));
    }

    @Override
    public void onUnreachable(String reason) {
        end(TaskOutcome.NEVER_RAN);
    }

    /**
     * Checks the lease again, which may have expired since submission, as when this process was suspended.
     */
    @Override
    public boolean mayWriteFirstByte() {
        firstByteWritten = leases.remaining(lease()).longerThan(Span.ZERO)
                && leases.token(lease()) == request.token();
        if (!firstByteWritten) {
            connection.close();
            client.execute(() -> end(TaskOutcome.NEVER_RAN));
        }
        return firstByteWritten;
    }

    @Override
    public void onHead(ResponseHead head) {
        status = head.status();
        String field = head.field("Retry-After");
        if (field != null && RETRY_AFTER_SECONDS.matcher(field).matches()) {
            retryAfter = Span.ofMillis(Double.parseDouble(field) * MILLIS_PER_SECOND);
        }
    }

    @Override
    public void onComplete() {
        client.release(connection);
        end(outcome());
    }

    private TaskOutcome outcome() {
        return switch (status) {
            case OK -> TaskOutcome.COMPLETED;
            case BAD_REQUEST, TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE -> TaskOutcome.NEVER_RAN;
            default -> TaskOutcome.MAY_HAVE_RUN;
        };
    }

    @Override
    public void onFailure(String reason) {
        end(firstByteWritten ? TaskOutcome.MAY_HAVE_RUN : TaskOutcome.NEVER_RAN);
    }

    private void end(TaskOutcome outcome) {
        listener.onEnded(outcome, retryAfter);
    }
}
