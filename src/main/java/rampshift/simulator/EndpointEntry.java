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
    int site;
    int pod;
    int machine;
    String state;
    double bornMs;
    double weight;

    /** Reads the JSON object that starts at the parser's position; absent optional fields become 0. */
    void read(JsonParser in) throws IOException {
        MessageFields.open(in, DESCRIPTION);
        clear();
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

    private void clear() {
        worker = MISSING;
        site = 0;
        pod = 0;
        machine = 0;
        state = null;
        bornMs = 0;
        weight = 0;
    }

    private void readField(JsonParser in, String name, JsonToken value) throws IOException {
        switch (name) {
            case "Worker" -> worker = whole(in, name, value);
            case "Site" -> site = (int) whole(in, name, value);
            case "Pod" -> pod = (int) whole(in, name, value);
            case "Machine" -> machine = (int) whole(in, name, value);
            case "BornMs" -> bornMs = MessageFields.number(in, name);
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

    private static long whole(JsonParser in, String name, JsonToken value) throws IOException {
        if (value != JsonToken.VALUE_NUMBER_INT) {
            throw new InvalidInputException(DESCRIPTION + ": " + name + " is not an integer");
        }
        return in.getLongValue();
    }
}
