package rampshift.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import rampshift.settings.InvalidInputException;
import rampshift.settings.SettingsReader;

/**
 * The fields of the message being read. One object is used for all messages in turn: a batch holds
 * thousands.
 */
final class MessageFields {
    private static final String MESSAGE = "a message";
    /**
     * In place of an object or an array that no message type uses: it is there, and of no type that is
     * asked for.
     */
    private static final String UNREAD_STRUCTURE = "{}";

    private final List<String> names = new ArrayList<>();
    private final List<Object> values = new ArrayList<>();
    /** The settings of an Attach; null in other messages. */
    SettingsReader settings;
    /**
     * The entries of an endpoint list: the first {@link #count} of these, in the order in which they came.
     */
    final List<EndpointEntry> entries = new ArrayList<>();
    int count;
    /** The load report of a worker; null where there is none. */
    MessageFields load;

    /** Reads the object at whose start the parser stands, in place of the message before. */
    void read(JsonParser in) throws IOException {
        open(in, MESSAGE);
        names.clear();
        values.clear();
        count = 0;
        settings = null;
        load = null;
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
            load = new MessageFields();
            load.read(in);
        } else if (token.isNumeric()) {
            put(name, token == JsonToken.VALUE_NUMBER_INT ? whole(in) : (Object) in.getDoubleValue());
        } else if (token == JsonToken.VALUE_STRING) {
            put(name, in.getText());
        } else if (token.isBoolean()) {
            put(name, in.getBooleanValue());
        } else if (token.isStructStart()) {
            put(name, UNREAD_STRUCTURE);
            in.skipChildren();
        }
    }

    private void readEntries(JsonParser in) throws IOException {
        while (!in.nextToken().isStructEnd()) {
            if (count == entries.size()) {
                entries.add(new EndpointEntry());
            }
            entries.get(count).read(in);
            count++;
        }
    }

    private static Object whole(JsonParser in) throws IOException {
        boolean overLong = in.getNumberType() == JsonParser.NumberType.BIG_INTEGER;
        return overLong ? (Object) in.getDoubleValue() : (Object) in.getLongValue();
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

    private InvalidInputException fault(String name, String description) {
        return new InvalidInputException(type() + ": " + name + " " + description);
    }

    /** A text, which must be there. */
    String text(String name) {
        if (required(name) instanceof String text) {
            return text;
        }
        throw fault(name, "is not text");
    }

    /** A whole number, which must be there. */
    long whole(String name) {
        if (required(name) instanceof Long number) {
            return number;
        }
        throw fault(name, "is not a whole number");
    }

    /** A whole number; 0 where there is none. */
    int index(String name) {
        return find(name) == null ? 0 : (int) whole(name);
    }

    double number(String name, double ifAbsent) {
        Object value = find(name);
        if (value == null) {
            return ifAbsent;
        }
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        throw fault(name, "is not a number");
    }

    /** True or false; false where there is none. */
    boolean flag(String name) {
        Object value = find(name);
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        throw fault(name, "is neither true nor false");
    }

    /** The parser has to stand at, or before, the start of an object. */
    static void open(JsonParser in, String description) throws IOException {
        JsonToken token = in.currentToken() == null ? in.nextToken() : in.currentToken();
        if (token != JsonToken.START_OBJECT) {
            throw new InvalidInputException(description + " is not an object");
        }
    }

    /** The parser has to stand at the start of an array. */
    static void array(JsonParser in, String description) {
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw new InvalidInputException(description + " is not an array");
        }
    }

    /** The number at which the parser stands. */
    static double number(JsonParser in, String name) throws IOException {
        if (!in.currentToken().isNumeric()) {
            throw new InvalidInputException(name + " is not a number");
        }
        return in.getDoubleValue();
    }
}
