package rampshift.testbed.clients;

import java.util.Optional;
import java.util.regex.Pattern;
import rampshift.testbed.wire.Message;
import rampshift.time.Span;

/**
 * What an attempt came to.
 *
 * @param outcome how it ended
 * @param retryable whether the client may send the task again
 * @param retryAfter for how long the dispatcher asked the client to wait; zero if it did not
 * @param workerTime how long the worker says that it took; empty if that is not known
 */
record AttemptResult(ClientOutcome outcome, boolean retryable, Span retryAfter, Optional<Span> workerTime) {

    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final Pattern WORKER_MICROS = Pattern.compile("\\d{1,12}");
    private static final Pattern RETRY_AFTER_SECONDS = Pattern.compile("\\d{1,6}(\\.\\d{1,6})?");

    /** The result of an attempt without a response that counts. */
    static AttemptResult withoutResponse(ClientOutcome outcome, boolean retryable) {
        return new AttemptResult(outcome, retryable, Span.ZERO, Optional.empty());
    }

    /**
     * The result of an attempt whose response came in time.
     *
     * @param response the response
     * @param repeatable whether the task may be sent again after it may have run
     */
    static AttemptResult ofResponse(Message response, boolean repeatable) {
        int status = response.status();
        if (status == OK) {
            return new AttemptResult(ClientOutcome.FINISHED, false, Span.ZERO, workerTime(response.text()));
        }
        if (status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE) {
            Span retryAfter = retryAfter(response.field("Retry-After"));
            return new AttemptResult(ClientOutcome.REJECTED, true, retryAfter, Optional.empty());
        }
        ClientOutcome outcome = status >= FIRST_SERVER_ERROR
                ? ClientOutcome.SERVER_ERROR
                : ClientOutcome.OTHER_RESPONSE;
        return withoutResponse(outcome, repeatable);
    }

    /** Whether a response has the status of a finished task. */
    static boolean isFinished(Message response) {
        return response.status() == OK;
    }

    /** An emulated worker's result ends with a slash and the microseconds that it took. */
    private static Optional<Span> workerTime(String result) {
        String micros = result.substring(result.lastIndexOf('/') + 1);
        if (!WORKER_MICROS.matcher(micros).matches()) {
            return Optional.empty();
        }
        return Optional.of(new Span(Long.parseLong(micros)));
    }

    private static Span retryAfter(String seconds) {
        if (seconds == null || !RETRY_AFTER_SECONDS.matcher(seconds).matches()) {
            return Span.ZERO;
        }
        return Span.ofMillis(Double.parseDouble(seconds) * MILLIS_PER_SECOND);
    }
}
