package rampshift.workers;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import rampshift.connections.PeerJson;

/** Reads load reports from JSON objects. */
final class LoadReportReader {
    private static final PeerJson JSON = new PeerJson();
    /** The exclusive limit of plausible numbers; larger ones are ignored as errors of the worker. */
    private static final double MAX_PLAUSIBLE_VALUE = 1e6;

    private final String freeSlotsName;
    private final String freeMemoryName;

    /**
     * Creates a reader.
     *
     * @param freeSlotsName the name of the field with the number of free slots; null if there is none
     * @param freeMemoryName the name of the field with the free memory; null if there is none
     */
    LoadReportReader(String freeSlotsName, String freeMemoryName) {
        this.freeSlotsName = freeSlotsName;
        this.freeMemoryName = freeMemoryName;
    }

    /**
     * Reads the value of a header field.
     *
     * @return the load report; null if the text is empty or not an object
     * @throws IOException if the text is not valid JSON
     */
    LoadReport read(String text) throws IOException {
        try (JsonParser parser = JSON.parser(text)) {
            parser.nextToken();
            return read(parser);
        }
    }

    /**
     * Reads the body of a response.
     *
     * @return the load report; null if the body is empty or not an object
     * @throws IOException if the body is not valid JSON
     */
    LoadReport read(byte[] body, int length) throws IOException {
        try (JsonParser parser = JSON.parser(body, length)) {
            parser.nextToken();
            return read(parser);
        }
    }

    /**
     * Reads the value at the current token of a parser, and leaves the parser at the end of the value.
     *
     * @return the load report; null if the value is not an object
     */
    LoadReport read(JsonParser parser) throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            parser.skipChildren();
            return null;
        }
        double freeSlots = Double.NaN;
        double queued = Double.NaN;
        double inFlight = Double.NaN;
        double freeMemory = Double.NaN;
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            if (!parser.nextToken().isNumeric()) {
                parser.skipChildren();
                continue;
            }
            double value = plausible(parser.getDoubleValue());
            if (name.equals(freeSlotsName)) {
                freeSlots = value;
            } else if (name.equals(freeMemoryName)) {
                freeMemory = value;
            } else if (name.equals("depth") || name.equals("queue")) {
                queued = value;
            } else if (name.equals("concurrent") || name.equals("inflight")) {
                inFlight = value;
            }
        }
        return new LoadReport(freeSlots, queued, inFlight, freeMemory);
    }

    private static double plausible(double value) {
        return value >= 0 && value < MAX_PLAUSIBLE_VALUE ? value : Double.NaN;
    }
}
