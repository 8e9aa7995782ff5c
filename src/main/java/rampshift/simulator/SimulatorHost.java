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

/** Hosts many instances of the decision module on the simulator's wire; they share nothing. */
public final class SimulatorHost {
    private final JsonFactory json =
            JsonFactory.builder().enable(StreamReadFeature.USE_FAST_DOUBLE_PARSER).build();
    private final Map<String, PolicyInstance> instances = new HashMap<>();
    private final MessageFields fields = new MessageFields();

    /** Plays the whole input; the result is the exit status. */
    public static int run(InputStream in, OutputStream out, PrintStream err) throws IOException {
        SimulatorWarmUp.play();
        SimulatorHost drill = new SimulatorHost();
        LineReader lines = new LineReader(in);
        int number = 0;
        for (ByteBuffer line = lines.next(); line != null; line = lines.next()) {
            number++;
            try {
                out.write(drill.reply(line));
                out.flush();
            } catch (JsonProcessingException | InvalidInputException e) {
                String what = e instanceof JsonProcessingException j
                        ? j.getOriginalMessage()
                        : e.getMessage();
                err.println("rampshift drill: line " + number + ": " + what.replace('\n', ' '));
                return 1;
            }
        }
        return 0;
    }

    /** One batch in, one whole reply out. */
    byte[] reply(ByteBuffer line) throws IOException {
        List<PolicyInstance> heard = new ArrayList<>();
        Moment now = null;
        try (JsonParser in = json.createParser(line.array(), line.arrayOffset(), line.remaining())) {
            MessageFields.open(in, "a batch");
            boolean news = false;
            while (in.nextToken() != null && in.currentName() != null && !in.currentToken().isStructEnd()) {
                String name = in.currentName();
                in.nextToken();
                if (name.equals("SimTimeMs")) {
                    now = Moment.ofMillis(MessageFields.number(in, name));
                } else if (name.equals("news")) {
                    if (now == null) {
                        now = laterClock(line);
                    }
                    news = true;
                    events(in, now, heard);
                } else {
                    in.skipChildren();
                }
            }
            if (now == null || !news) {
                throw new InvalidInputException("a batch needs SimTimeMs and news");
            }
            if (in.nextToken() != null) {
                throw new InvalidInputException("more than one value on the line");
            }
        }
        ReplyWriter reply = new ReplyWriter(json);
        JsonGenerator out = reply.out;
        out.writeStartObject();
        out.writeArrayFieldStart("cmds");
        for (PolicyInstance instance : heard) {
            instance.heard = false;
            if (!instance.retired) {
                instance.answer(reply);
            }
        }
        return reply.finish();
    }

    /** The clock, where it stands behind the news. */
    private Moment laterClock(ByteBuffer line) throws IOException {
        try (JsonParser in = json.createParser(line.array(), line.arrayOffset(), line.remaining())) {
            in.nextToken();
            while (in.nextToken() != null && !in.currentToken().isStructEnd()) {
                String name = in.currentName();
                in.nextToken();
                if (name.equals("SimTimeMs")) {
                    return Moment.ofMillis(MessageFields.number(in, name));
                }
                in.skipChildren();
            }
        }
        throw new InvalidInputException("a batch needs SimTimeMs and news");
    }

    private void events(JsonParser in, Moment now, List<PolicyInstance> heard) throws IOException {
        MessageFields.array(in, "news");

        while (!in.nextToken().isStructEnd()) {
            fields.read(in);
            String who = fields.text("Who");
            String what = fields.text("t");
            if (what.equals("Attach")) {
                PolicyInstance instance = new PolicyInstance(who, fields.settings, fields.whole("Seed"), now);
                PolicyInstance former = instances.put(who, instance);
                if (former != null) {
                    former.retired = true;
                }
            }
            PolicyInstance instance = instances.get(who);
            if (instance == null) {
                throw new InvalidInputException(what + " for the unknown instance " + who);
            }
            if (what.equals("Retire")) {
                instance.retired = true;
                instances.remove(who);
                continue;
            }
            if (!instance.heard) {
                instance.heard = true;
                heard.add(instance);
                instance.clock(now);
            }
            instance.event(what, fields);
        }
    }
}
