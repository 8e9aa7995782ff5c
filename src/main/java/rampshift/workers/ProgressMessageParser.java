package rampshift.workers;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import rampshift.connections.PeerJson;

/** Parses one line of a worker's response, which must be a JSON object. An instance parses one line. */
final class ProgressMessageParser {
    private static final PeerJson JSON = new PeerJson();
    private static final byte[] NO_RESULT = {};

    private final byte[] line;
    private final int length;
    private final LoadReportReader loadReportReader;
    private String taskId;
    private String workerUid;
    private String stateName;
    private double progressShare = Double.NaN;
    private LoadReport load;
    private byte[] result = NO_RESULT;

    private ProgressMessageParser(byte[] line, int length, LoadReportReader loadReportReader) {
        this.line = line;
        this.length = length;
        this.loadReportReader = loadReportReader;
    }

    /**
     * Parses a line.
     *
     * @param line an array that starts with the line
     * @param length the length of the line in bytes
     * @throws IOException if the line is not a JSON object
     */
    static ProgressMessage parse(byte[] line, int length, LoadReportReader loadReportReader)
            throws IOException {
        return new ProgressMessageParser(line, length, loadReportReader).parse();
    }

    private ProgressMessage parse() throws IOException {
        try (JsonParser parser = JSON.parser(line, length)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("not a JSON object");
            }
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                if (parser.currentToken() == null) {
                    throw new IOException("an incomplete JSON object");
                }
                parseField(parser);
            }
        }
        return new ProgressMessage(taskId, workerUid, TaskState.parse(stateName), stateName, progressShare,
                load,
                result);
    }

    private void parseField(JsonParser parser) throws IOException {
        String name = parser.currentName();
        JsonToken value = parser.nextToken();
        if (value == JsonToken.VALUE_STRING) {
            parseText(name, parser);
        } else if (value != null && value.isNumeric() && name.equals("share")) {
            progressShare = parser.getDoubleValue();
        } else if (name.equals("load")) {
            load = loadReportReader.read(parser);
        } else {
            parser.skipChildren();
        }
    }

    private void parseText(String name, JsonParser parser) throws IOException {
        switch (name) {
            case "id" -> taskId = parser.getText();
            case "from" -> workerUid = parser.getText();
            case "state" -> stateName = parser.getText();
            case "result" -> result = textBytes(parser);
            default -> {
                // Not a field of the protocol.
            }
        }
    }

    /**
     * Returns the bytes of the string at the current token of the parser, copied without decoding if the
     * string contains no escapes.
     */
    private byte[] textBytes(JsonParser parser) throws IOException {
        int start = (int) parser.currentTokenLocation().getByteOffset() + 1;
        int end = start;
        while (end < length && line[end] != '"') {
            if (line[end] == '\\') {
                return parser.getText().getBytes(StandardCharsets.UTF_8);
            }
            end++;
        }
        return Arrays.copyOfRange(line, start, end);
    }
}
