package rampshift.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rampshift.settings.InvalidInputException;
import rampshift.time.Moment;

/**
 * Hosts instances of the dispatch policy for a simulator. Reads batches of events, one JSON object per line,
 * and answers each batch with one line of commands. The instances share no state.
 */
public final class SimulatorHost {
    private static final int EXIT_DONE = 0;
    private static final int EXIT_INVALID_INPUT = 1;
    private static final String TIME_FIELD = "SimTimeMs";
    private static final String EVENTS_FIELD = "news";
    private static final String INCOMPLETE_BATCH = "batch without SimTimeMs or news";

    private final JsonFactory json =
            JsonFactory.builder().enable(StreamReadFeature.USE_FAST_DOUBLE_PARSER).build();
    private final Map<String, PolicyInstance> instances = new HashMap<>();
    private final MessageFields fields = new MessageFields();

    /**
     * Answers the batches of the input until its end and returns the exit status. Stops at invalid input and
     * reports it on one line.
     */
    public static int run(InputStream in, OutputStream out, PrintStream err) throws IOException {
        SimulatorWarmUp.run();
        SimulatorHost host = new SimulatorHost();
        LineReader lines = new LineReader(in);
        int number = 0;
        for (ByteBuffer line = lines.next(); line != null; line = lines.next()) {
            number++;
            try {
                out.write(host.reply(line));
                out.flush();
            } catch (JsonProcessingException e) {
                return reportInvalidInput(number, e.getOriginalMessage(), err);
            } catch (InvalidInputException e) {
                return reportInvalidInput(number, e.getMessage(), err);
            }
        }
        return EXIT_DONE;
    }

    private static int reportInvalidInput(int lineNumber, String description, PrintStream err) {
        err.println("rampshift drill: line " + lineNumber + ": " + description.replace('\n', ' '));
        return EXIT_INVALID_INPUT;
    }

    /** Handles one batch and returns the complete reply with its line terminator. */
    byte[] reply(ByteBuffer line) throws IOException {
        List<PolicyInstance> addressed = new ArrayList<>();
        readBatch(line, addressed);
        ReplyWriter reply = new ReplyWriter(json);
        JsonGenerator out = reply.out;
        out.writeStartObject();
        out.writeArrayFieldStart("cmds");
        for (PolicyInstance instance : addressed) {
            instance.addressed = false;
            if (!instance.retired) {
                instance.writeDecisions(reply);
            }
        }
        return reply.finish();
    }

    /** Passes the events of a batch to their instances and lists these in the order of their first events. */
    private void readBatch(ByteBuffer line, List<PolicyInstance> addressed) throws IOException {
        try (JsonParser in = parser(line)) {
            MessageFields.requireObject(in, "batch");
            Moment now = null;
            boolean hasEvents = false;
            while (in.nextToken() != null && in.currentName() != null && !in.currentToken().isStructEnd()) {
                String name = in.currentName();
                in.nextToken();
                if (name.equals(TIME_FIELD)) {
                    now = Moment.ofMillis(MessageFields.number(in, name));
                } else if (name.equals(EVENTS_FIELD)) {
                    now = now == null ? timeAfterEvents(line) : now;
                    hasEvents = true;
                    readEvents(in, now, addressed);
                } else {
                    in.skipChildren();
                }
            }
            if (now == null || !hasEvents) {
                throw new InvalidInputException(INCOMPLETE_BATCH);
            }
            if (in.nextToken() != null) {
                throw new InvalidInputException("more than one JSON value on the line");
            }
        }
    }

    private JsonParser parser(ByteBuffer line) throws IOException {
        return json.createParser(line.array(), line.arrayOffset(), line.remaining());
    }

    /** Returns the time of a batch in which it follows the events, by parsing the line a second time. */
    private Moment timeAfterEvents(ByteBuffer line) throws IOException {
        try (JsonParser in = parser(line)) {
            in.nextToken();
            while (in.nextToken() != null && !in.currentToken().isStructEnd()) {
                String name = in.currentName();
                in.nextToken();
                if (name.equals(TIME_FIELD)) {
                    return Moment.ofMillis(MessageFields.number(in, name));
                }
                in.skipChildren();
            }
        }
        throw new InvalidInputException(INCOMPLETE_BATCH);
    }

    private void readEvents(JsonParser in, Moment now, List<PolicyInstance> addressed) throws IOException {
        MessageFields.requireArray(in, EVENTS_FIELD);
        while (!in.nextToken().isStructEnd()) {
            fields.read(in);
            String name = fields.text("Who");
            String type = fields.text("t");
            if (type.equals("Attach")) {
                attach(name, now);
            }
            PolicyInstance instance = instances.get(name);
            if (instance == null) {
                throw new InvalidInputException(type + " for unknown instance " + name);
            }
            if (type.equals("Retire")) {
                instance.retired = true;
                instances.remove(name);
                continue;
            }
            if (!instance.addressed) {
                instance.addressed = true;
                addressed.add(instance);
                instance.setTime(now);
            }
            instance.handleEvent(type, fields);
        }
    }

    /** Starts an instance and retires an existing one with the same name. */
    private void attach(String name, Moment now) {
        PolicyInstance instance = new PolicyInstance(name, fields.settings, fields.integer("Seed"), now);
        PolicyInstance previous = instances.put(name, instance);
        if (previous != null) {
            previous.retired = true;
        }
    }
}
