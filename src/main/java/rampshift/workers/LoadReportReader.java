package rampshift.workers;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/** Reads load reports from JSON objects. */
final class LoadReportReader {
    private static final JsonFactory JSON = new JsonFactory();
    /** Larger numbers are taken for mistakes. */
    private static final double MAX_PLAUSIBLE_VALUE = 1e6;

    private final String freeSlotsName;
    private final String freeMemoryName;

    /**
     * Creates a reader.
     *
     * @param freeSlotsName the name of the field with the number of free slots
     * @param freeMemoryName the name of the field with the free memory
     */
    LoadReportReader(String freeSlotsName, String freeMemoryName) {
        this.freeSlotsName = freeSlotsName;
        this.freeMemoryName = freeMemoryName;
    }

    /**
     * Reads the value of a header field.
     *
     * @return the load report, or null if the text is empty or no object
     * @throws IOException if the text is no JSON
     */
    LoadReport read(String text) throws IOException {
        try (JsonParser parser = JSON.createParser(text)) {
            parser.nextToken();
            return read(parser);
        }
    }

    /**
     * Reads the body of a response.
     *
     * @return the load report, or null if the body is empty or no object
     * @throws IOException if the body is no JSON
     */
    LoadReport read(byte[] body, int length) throws IOException {
        try (JsonParser parser = JSON.createParser(body, 0, length)) {
            parser.nextToken();
            return read(parser);
        }
    }

    /**
     * Reads the value that a parser has just reached, and leaves the parser at its end.
     *
     * @return the load report, or null if the value is no object
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
