package rampshift.pipeline;

import java.util.regex.Pattern;
import rampshift.clients.InvalidRequestException;

/**
 * The resources that a task takes of its worker, parsed from the labels of its request.
 *
 * @param slots the number of slots; 1 if no label states it
 * @param memory the memory, in the unit of the load reports; 0 if no label states it
 */
record TaskLabels(double slots, double memory) {
    private static final String SLOTS = "slots";
    private static final String MEMORY = "memory";
    private static final double MAX_VALUE = 1e6;
    private static final Pattern DECIMAL = Pattern.compile("\\d{1,12}(\\.\\d{1,12})?");

    /**
     * Parses labels such as {@code slots=2,memory=0.5}; others than these two are ignored.
     *
     * @param text the value of the header field; null if there is none
     * @throws InvalidRequestException if the value of one of the two is invalid
     */
    static TaskLabels parse(String text) throws InvalidRequestException {
        double slots = 1;
        double memory = 0;
        if (text != null) {
            for (String label : text.split(",", -1)) {
                int equals = label.indexOf('=');
                String name = equals < 0 ? "" : label.substring(0, equals).trim();
                if (name.equals(SLOTS)) {
                    slots = value(name, label.substring(equals + 1));
                } else if (name.equals(MEMORY)) {
                    memory = value(name, label.substring(equals + 1));
                }
            }
        }
        return new TaskLabels(slots, memory);
    }

    private static double value(String name, String text) throws InvalidRequestException {
        double value = parseDecimal(text.trim());
        if (value >= 0 && value <= MAX_VALUE) {
            return value;
        }
        throw new InvalidRequestException(400, "X-Labels: " + name + " is not a valid number");
    }

    /**
     * Parses a number of plain decimal digits. Returns NaN for null and for any other text, also in the other
     * formats that {@link Double#parseDouble} accepts.
     */
    static double parseDecimal(String text) {
        return text != null && DECIMAL.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
    }
}
