package rampshift.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import rampshift.policy.Decisions;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Writes the decisions of the policy as the JSON commands of one reply. */
final class ReplyWriter implements Decisions {
    private static final int INITIAL_BUFFER_BYTES = 1024;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
    final JsonGenerator out;
    /** The name of the instance whose decisions are being written. */
    String instanceName;

    ReplyWriter(JsonFactory json) throws IOException {
        out = json.createGenerator(bytes);
    }

    /** Completes the reply and returns it with its line terminator. */
    byte[] finish() throws IOException {
        out.writeEndArray();
        out.writeEndObject();
        out.writeRaw('\n');
        out.close();
        return bytes.toByteArray();
    }

    /** Writes the fields of one message. */
    private interface Body {
        void write() throws IOException;
    }

    private void writeMessage(String type, Body body) {
        try {
            out.writeStartObject();
            out.writeStringField("t", type);
            out.writeStringField("Who", instanceName);
            body.write();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void forward(long task, long worker, Span timeout) {
        writeMessage("Place", () -> {
            out.writeNumberField("Ref", task);
            out.writeNumberField("Worker", worker);
            out.writeNumberField("TimeoutMs", timeout.millis());
        });
    }

    @Override
    public void cancel(long task, int attempt) {
        writeMessage("StopAttempt", () -> {
            out.writeNumberField("Ref", task);
            out.writeNumberField("Try", attempt);
        });
    }

    @Override
    public void reject(long task, Span retryAfter) {
        writeMessage("OverloadReply", () -> {
            out.writeNumberField("Ref", task);
            out.writeNumberField("RetryAfterMs", retryAfter.millis());
        });
    }

    @Override
    public void fail(long task) {
        writeMessage("Error", () -> out.writeNumberField("Ref", task));
    }

    @Override
    public void probe(long worker) {
        writeMessage("HealthCheck", () -> out.writeNumberField("Worker", worker));
    }

    @Override
    public void subscribe() {
        writeMessage("Observe", () -> out.writeBooleanField("Enable", true));
    }

    @Override
    public void wakeAt(Moment when) {
        writeMessage("NotifyMe", () -> {
            out.writeNumberField("TimeMs", when.millis());
            out.writeNumberField("Name", 0);
        });
    }

    /** Reports that the instance has failed and makes no more decisions. */
    void writeFailure(String reason) {
        writeMessage("BailOut", () -> out.writeStringField("Words", reason));
    }
}
