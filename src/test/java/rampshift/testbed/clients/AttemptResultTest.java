package rampshift.testbed.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import rampshift.testbed.wire.Message;
import rampshift.time.Moment;
import rampshift.time.Span;

class AttemptResultTest {
    private static AttemptResult resultOf(int status, String headerLine, String body, boolean repeatable) {
        Message response = new Message("HTTP/1.1 " + status + " x", List.of(headerLine),
                body.getBytes(StandardCharsets.UTF_8), Moment.ofMillis(0), true);
        return AttemptResult.ofResponse(response, repeatable);
    }

    private static AttemptResult rejectedWith(String headerLine) {
        return resultOf(503, headerLine, "", false);
    }

    @Test
    void aFinishedAttemptHasTheWorkerTimeAfterTheLastSlash() {
        AttemptResult result = resultOf(200, "A: b", "w/t/1500", true);
        assertEquals(ClientOutcome.FINISHED, result.outcome());
        assertEquals(Optional.of(new Span(1500)), result.workerTime());
        assertFalse(result.retryable());
        assertEquals(Optional.empty(), resultOf(200, "A: b", "w/t/-1", true).workerTime());
        assertEquals(Optional.empty(), resultOf(200, "A: b", "", true).workerTime());
    }

    @Test
    void aRejectedAttemptIsRetryableWhateverTheTaskIs() {
        assertEquals(ClientOutcome.REJECTED, resultOf(429, "A: b", "", false).outcome());
        assertEquals(ClientOutcome.REJECTED, resultOf(503, "A: b", "", false).outcome());
        assertTrue(resultOf(429, "A: b", "", false).retryable());
        assertTrue(resultOf(503, "A: b", "", false).retryable());
    }

    @Test
    void retryAfterIsInSecondsAndZeroWhereItIsMissingOrInvalid() {
        assertEquals(Span.ofMillis(120), rejectedWith("Retry-After: 0.12").retryAfter());
        assertEquals(Span.ofMillis(2000), rejectedWith("Retry-After: 2").retryAfter());
        assertEquals(Span.ZERO, rejectedWith("Retry-After: soon").retryAfter());
        assertEquals(Span.ZERO, rejectedWith("A: b").retryAfter());
    }

    @Test
    void anyOtherResponseIsRetryableOnlyIfTheTaskIsRepeatable() {
        assertEquals(ClientOutcome.SERVER_ERROR, resultOf(504, "A: b", "", true).outcome());
        assertEquals(ClientOutcome.OTHER_RESPONSE, resultOf(400, "A: b", "", true).outcome());
        assertTrue(resultOf(504, "A: b", "", true).retryable());
        assertFalse(resultOf(504, "A: b", "", false).retryable());
        assertTrue(resultOf(400, "A: b", "", true).retryable());
        assertFalse(resultOf(400, "A: b", "", false).retryable());
    }
}
