package rampshift.testbed.clients;

import java.util.Optional;
import java.util.regex.Pattern;
import rampshift.testbed.wire.Message;
import rampshift.time.Span;

/**
 * The result of an attempt.
 *
 * @param outcome the outcome
 * @param retryable whether the client may retry the task
 * @param retryAfter the retry delay that the dispatcher requested; zero if there is none
 * @param workerTime the time that the worker reported for the task; empty if that is not known
 */
record AttemptResult(ClientOutcome outcome, boolean retryable, Span retryAfter, Optional<Span> workerTime) {

    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final Pattern WORKER_MICROS = Pattern.compile("\\d{1,12}");
    private static final Pattern RETRY_AFTER_SECONDS = Pattern.compile("\\d{1,6}(\\.\\d{1,6})?");

    /** Returns the result of an attempt that was neither finished nor rejected. */
    static AttemptResult ofFailure(ClientOutcome outcome, boolean retryable) {
        return new AttemptResult(outcome, retryable, Span.ZERO, Optional.empty());
    }

    /**
     * Returns the result of an attempt whose response arrived in time.
     *
     * @param response the response
     * @param repeatable whether the task may be retried after it may have run
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
        return ofFailure(outcome, repeatable);
    }

    /** Returns whether a response has the status of a finished task. */
    static boolean isFinished(Message response) {
        return response.status() == OK;
    }

    /** Parses the worker's time, in microseconds after the last slash of an emulated worker's result. */
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
