package rampshift.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import rampshift.settings.InvalidInputException;
import rampshift.settings.SettingsReader;

/** The fields of the current message. One object is reused for all messages: a batch holds thousands. */
final class MessageFields {
    private static final String MESSAGE = "message";
    /**
     * The value recorded for an object or array that no message type uses. The field counts as present, is
     * neither a number nor a boolean, and {@link #text} returns this value.
     */
    private static final String UNUSED_STRUCTURE = "{}";

    private final List<String> names = new ArrayList<>();
    private final List<Object> values = new ArrayList<>();
    /** The settings in an Attach message; null in other messages. */
    SettingsReader settings;
    /** Reusable entries; the first {@link #entryCount} are the endpoint list of the message, in its order. */
    final List<EndpointEntry> entries = new ArrayList<>();
    int entryCount;
    /** The load report of a worker; null if the message has none. */
    MessageFields loadReport;

    /** Replaces the fields by those of the JSON object that starts at the parser's position. */
    void read(JsonParser in) throws IOException {
        requireObject(in, MESSAGE);
        names.clear();
        values.clear();
        entryCount = 0;
        settings = null;
        loadReport = null;
        while (!in.nextToken().isStructEnd()) {
            String name = in.currentName();
            readField(in, name, in.nextToken());
        }
    }

    private void readField(JsonParser in, String name, JsonToken token) throws IOException {
        if (name.equals("Setup") && token == JsonToken.START_OBJECT) {
            settings = new SettingsReader(in);
        } else if (name.equals("Entries") && token == JsonToken.START_ARRAY) {
            readEntries(in);
        } else if (name.equals("Load") && token == JsonToken.START_OBJECT) {
            loadReport = new MessageFields();
            loadReport.read(in);
        } else if (token.isNumeric()) {
            put(name, token == JsonToken.VALUE_NUMBER_INT ? integer(in) : (Object) in.getDoubleValue());
        } else if (token == JsonToken.VALUE_STRING) {
            put(name, in.getText());
        } else if (token.isBoolean()) {
            put(name, in.getBooleanValue());
        } else if (token.isStructStart()) {
            put(name, UNUSED_STRUCTURE);
            in.skipChildren();
        }
    }

    private void readEntries(JsonParser in) throws IOException {
        while (!in.nextToken().isStructEnd()) {
            if (entryCount == entries.size()) {
                entries.add(new EndpointEntry());
            }
            entries.get(entryCount).read(in);
            entryCount++;
        }
    }

    private static Object integer(JsonParser in) throws IOException {
        boolean exceedsLong = in.getNumberType() == JsonParser.NumberType.BIG_INTEGER;
        return exceedsLong ? (Object) in.getDoubleValue() : (Object) in.getLongValue();
    }

    private void put(String name, Object value) {
        names.add(name);
        values.add(value);
    }

    private Object find(String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equals(name)) {
                return values.get(i);
            }
        }
        return null;
    }

    private Object required(String name) {
        Object value = find(name);
        if (value == null) {
            throw new InvalidInputException(type() + " without " + name);
        }
        return value;
    }

    private String type() {
        return find("t") instanceof String text ? text : MESSAGE;
    }

    private InvalidInputException invalidField(String name, String description) {
        return new InvalidInputException(type() + ": " + name + " " + description);
    }

    /** Returns the string in a required field. */
    String text(String name) {
        if (required(name) instanceof String text) {
            return text;
        }
        throw invalidField(name, "is not a string");
    }

    /** Returns the integer in a required field. */
    long integer(String name) {
        if (required(name) instanceof Long number) {
            return number;
        }
        throw invalidField(name, "is not an integer");
    }

    /** Returns the integer in a field, or 0 if the field is absent. */
    int integerOrZero(String name) {
        return find(name) == null ? 0 : (int) integer(name);
    }

    double number(String name, double defaultValue) {
        Object value = find(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        throw invalidField(name, "is not a number");
    }

    /** Returns the boolean in a field, or false if the field is absent. */
    boolean flag(String name) {
        Object value = find(name);
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        throw invalidField(name, "is neither true nor false");
    }

    /** Checks that the parser is at, or directly before, the start of an object. */
    static void requireObject(JsonParser in, String description) throws IOException {
        JsonToken token = in.currentToken() == null ? in.nextToken() : in.currentToken();
        if (token != JsonToken.START_OBJECT) {
            throw new InvalidInputException(description + " is not an object");
        }
    }

    /** Checks that the parser is at the start of an array. */
    static void requireArray(JsonParser in, String description) {
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw new InvalidInputException(description + " is not an array");
        }
    }

    /** Returns the number at the parser's position. */
    static double number(JsonParser in, String name) throws IOException {
        if (!in.currentToken().isNumeric()) {
            throw new InvalidInputException(name + " is not a number");
        }
        return in.getDoubleValue();
    }
}
