package rampshift.workers;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/** A worker's load as an answer or a probe told it; NaN where it says nothing, or nothing sensible. */
public record LoadReport(double freeSlots, double queued, double inFlight, double freeMemory) {

    private static final double SILLY = 1e6;

    /** Reads the object at which the parser stands; null if it is none. */
    static LoadReport read(JsonParser in, String freeSlots, String freeMemory) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            in.skipChildren();
            return null;
        }
        double free = Double.NaN;
        double queued = Double.NaN;
        double held = Double.NaN;
        double memoryFree = Double.NaN;
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            if (!in.nextToken().isNumeric()) {
                in.skipChildren();
                continue;
            }
            double value = in.getDoubleValue();
            value = value >= 0 && value < SILLY ? value : Double.NaN;
            if (name.equals(freeSlots)) {
                free = value;
            } else if (name.equals(freeMemory)) {
                memoryFree = value;
            } else if (name.equals("depth") || name.equals("queue")) {
                queued = value;
            } else if (name.equals("concurrent") || name.equals("inflight")) {
                held = value;
            }
        }
        return new LoadReport(free, queued, held, memoryFree);
    }
}
