package rampshift.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import rampshift.policy.Decisions;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Writes a reply straight from the module's answers. */
final class ReplyWriter implements Decisions {
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(1024);
    final JsonGenerator out;
    String who;

    ReplyWriter(JsonFactory json) throws IOException {
        out = json.createGenerator(bytes);
    }

    byte[] finish() throws IOException {
        out.writeEndArray();
        out.writeEndObject();
        out.writeRaw('\n');
        out.close();
        return bytes.toByteArray();
    }

    private interface Body {
        void write() throws IOException;
    }

    private void message(String type, Body body) {
        try {
            out.writeStartObject();
            out.writeStringField("t", type);
            out.writeStringField("Who", who);
            body.write();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void forward(long task, long worker, Span timeout) {
        message("Place", () -> {
            out.writeNumberField("Ref", task);
            out.writeNumberField("Worker", worker);
            out.writeNumberField("TimeoutMs", timeout.millis());
        });
    }

    @Override
    public void cancel(long task, int assignment) {
        message("StopAttempt", () -> {
            out.writeNumberField("Ref", task);
            out.writeNumberField("Try", assignment);
        });
    }

    @Override
    public void reject(long task, Span comeBackAfter) {
        message("OverloadReply", () -> {
            out.writeNumberField("Ref", task);
            out.writeNumberField("RetryAfterMs", comeBackAfter.millis());
        });
    }

    @Override
    public void fail(long task) {
        message("Error", () -> out.writeNumberField("Ref", task));
    }

    @Override
    public void probe(long worker) {
        message("HealthCheck", () -> out.writeNumberField("Worker", worker));
    }

    @Override
    public void subscribe() {
        message("Observe", () -> out.writeBooleanField("Enable", true));
    }

    @Override
    public void wakeAt(Moment when) {
        message("NotifyMe", () -> {
            out.writeNumberField("TimeMs", when.millis());
            out.writeNumberField("Name", 0);
        });
    }

    void bailOut(String words) {
        message("BailOut", () -> out.writeStringField("Words", words));
    }
}
