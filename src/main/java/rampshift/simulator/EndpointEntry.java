package rampshift.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import rampshift.settings.InvalidInputException;

/**
 * One worker of an endpoint list. Endpoint lists make up most of the input, so each JSON field is read
 * directly into a Java field and the object is reused for the next list.
 */
final class EndpointEntry {
    private static final String DESCRIPTION = "Fleet: entry";
    private static final int MISSING = -1;

    long worker;
    int zone;
    int cell;
    int kind;
    String state;
    double startedAtMs;
    double weight;

    /** Reads the JSON object that starts at the parser's position; absent optional fields become 0. */
    void read(JsonParser in) throws IOException {
        MessageFields.requireObject(in, DESCRIPTION);
        reset();
        for (String name = in.nextFieldName(); name != null; name = in.nextFieldName()) {
            JsonToken value = in.nextToken();
            if (value != JsonToken.VALUE_NULL) {
                readField(in, name, value);
            }
        }
        if (worker < 0 || state == null) {
            throw new InvalidInputException(
                    DESCRIPTION + " without " + (state == null ? "Availability" : "Worker"));
        }
    }

    private void reset() {
        worker = MISSING;
        zone = 0;
        cell = 0;
        kind = 0;
        state = null;
        startedAtMs = 0;
        weight = 0;
    }

    private void readField(JsonParser in, String name, JsonToken value) throws IOException {
        switch (name) {
            case "Worker" -> worker = integer(in, name, value);
            case "Site" -> zone = (int) integer(in, name, value);
            case "Pod" -> cell = (int) integer(in, name, value);
            case "Machine" -> kind = (int) integer(in, name, value);
            case "BornMs" -> startedAtMs = MessageFields.number(in, name);
            case "Nominal" -> weight = MessageFields.number(in, name);
            case "Availability" -> state = text(in, name, value);
            default -> in.skipChildren();
        }
    }

    private static String text(JsonParser in, String name, JsonToken value) throws IOException {
        if (value != JsonToken.VALUE_STRING) {
            throw new InvalidInputException(DESCRIPTION + ": " + name + " is not a string");
        }
        return in.getText();
    }

    private static long integer(JsonParser in, String name, JsonToken value) throws IOException {
        if (value != JsonToken.VALUE_NUMBER_INT) {
            throw new InvalidInputException(DESCRIPTION + ": " + name + " is not an integer");
        }
        return in.getLongValue();
    }
}
