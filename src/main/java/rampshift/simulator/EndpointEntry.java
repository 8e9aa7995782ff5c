package rampshift.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import rampshift.settings.InvalidInputException;

/**
 * One worker as a list tells it. Lists are most of what comes, so each field is read to its place, not kept
 * by name.
 */
final class EndpointEntry {
    private static final String WHAT = "Fleet: an entry";

    long worker;
    int site;
    int pod;
    int machine;
    String state;
    double bornMs;
    double weight;

    /** Reads it anew; the parser stands at its start. */
    void read(JsonParser in) throws IOException {
        MessageFields.open(in, WHAT);
        worker = -1;
        site = pod = machine = 0;
        state = null;
        bornMs = weight = 0;
        for (String name = in.nextFieldName(); name != null; name = in.nextFieldName()) {
            JsonToken value = in.nextToken();
            if (value == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "Worker" -> worker = whole(in, name, value);
                case "Site" -> site = (int) whole(in, name, value);
                case "Pod" -> pod = (int) whole(in, name, value);
                case "Machine" -> machine = (int) whole(in, name, value);
                case "BornMs" -> bornMs = MessageFields.number(in, name);
                case "Nominal" -> weight = MessageFields.number(in, name);
                case "Availability" -> {
                    if (value != JsonToken.VALUE_STRING) {
                        throw new InvalidInputException(WHAT + ": Availability is not text");
                    }
                    state = in.getText();
                }
                default -> in.skipChildren();
            }
        }
        if (worker < 0 || state == null) {
            throw new InvalidInputException(WHAT + " without " + (state == null ? "Availability" : "Worker"));
        }
    }

    private static long whole(JsonParser in, String name, JsonToken value) throws IOException {
        if (value != JsonToken.VALUE_NUMBER_INT) {
            throw new InvalidInputException(WHAT + ": " + name + " is not a whole number");
        }
        return in.getLongValue();
    }
}
