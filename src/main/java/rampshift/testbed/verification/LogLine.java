package rampshift.testbed.verification;

import java.util.Arrays;
import java.util.List;

/**
 * One line of an event log, split into fields: time, event type, and the arguments of that type.
 *
 * @param text the line as written
 * @param at when the line was written, in microseconds of Unix time
 * @param eventType the name of the event type
 * @param arguments the fields after the event type
 */
record LogLine(String text, long at, String eventType, List<String> arguments) {

    private static final String SEPARATOR = " ";
    private static final int FIXED_FIELDS = 2;

    /**
     * Splits a line.
     *
     * @throws MalformedLineException if it lacks a time or an event type
     */
    static LogLine split(String text) {
        List<String> fields = Arrays.asList(text.split(SEPARATOR));
        if (fields.size() < FIXED_FIELDS) {
            throw new MalformedLineException(text);
        }
        try {
            return new LogLine(text, Long.parseLong(fields.get(0)), fields.get(1),
                    fields.subList(FIXED_FIELDS, fields.size()));
        } catch (NumberFormatException e) {
            throw new MalformedLineException(text, e);
        }
    }

    /**
     * Returns an argument, counted from 0.
     *
     * @throws MalformedLineException if the line has no such argument
     */
    String argument(int index) {
        if (index >= arguments.size()) {
            throw new MalformedLineException(text);
        }
        return arguments.get(index);
    }

    /** Returns an argument, counted from 0; empty if the line has no such argument. */
    String optionalArgument(int index) {
        return index < arguments.size() ? arguments.get(index) : "";
    }

    /**
     * Returns an argument that is an integer, counted from 0.
     *
     * @throws MalformedLineException if the line has no such argument or it is not a 64-bit integer
     */
    long number(int index) {
        try {
            return Long.parseLong(argument(index));
        } catch (NumberFormatException e) {
            throw new MalformedLineException(text, e);
        }
    }

    /**
     * Returns an argument that is an integer, counted from 0.
     *
     * @throws MalformedLineException if the line has no such argument or it is not a 32-bit integer
     */
    int integer(int index) {
        try {
            return Integer.parseInt(argument(index));
        } catch (NumberFormatException e) {
            throw new MalformedLineException(text, e);
        }
    }

    /** Returns the event type and the arguments, without the time. */
    String withoutTime() {
        return arguments.isEmpty() ? eventType : eventType + SEPARATOR + String.join(SEPARATOR, arguments);
    }
}
