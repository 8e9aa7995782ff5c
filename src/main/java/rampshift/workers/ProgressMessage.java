package rampshift.workers;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** One line of a worker's answer. */
final class ProgressMessage {
    private static final JsonFactory JSON = new JsonFactory();
    private static final byte[] NOTHING = {};

    String id;
    String from;
    String state;
    double share = Double.NaN;
    LoadReport load;
    byte[] result = NOTHING;

    /** Reads a line, or throws where it is no JSON object. */
    static ProgressMessage read(byte[] line, int length, String freeSlots, String freeMemory)
            throws IOException {
        ProgressMessage note = new ProgressMessage();
        try (JsonParser in = JSON.createParser(line, 0, length)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("no object");
            }
            while (in.nextToken() != JsonToken.END_OBJECT) {
                if (in.currentToken() == null) {
                    throw new IOException("half a line");
                }
                String name = in.currentName();
                JsonToken value = in.nextToken();
                if (value == JsonToken.VALUE_STRING) {
                    switch (name) {
                        case "id" -> note.id = in.getText();
                        case "from" -> note.from = in.getText();
                        case "state" -> note.state = in.getText();
                        case "result" -> note.result = asItCame(in, line, length);
                        default -> {
                        }
                    }
                } else if (value != null && value.isNumeric() && name.equals("share")) {
                    note.share = in.getDoubleValue();
                } else if (name.equals("load")) {
                    note.load = LoadReport.read(in, freeSlots, freeMemory);
                } else {
                    in.skipChildren();
                }
            }
        }
        return note;
    }

    /** The bytes of the text at which the parser stands; copied out untouched where nothing is escaped. */
    private static byte[] asItCame(JsonParser in, byte[] line, int length) throws IOException {
        int from = (int) in.currentTokenLocation().getByteOffset() + 1;
        int to = from;
        while (to < length && line[to] != '"') {
            if (line[to] == '\\') {
                return in.getText().getBytes(StandardCharsets.UTF_8);
            }
            to++;
        }
        return Arrays.copyOfRange(line, from, to);
    }
}
