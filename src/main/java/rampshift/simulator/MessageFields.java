package rampshift.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import rampshift.settings.InvalidInputException;
import rampshift.settings.SettingsReader;

/** The fields of the message being read. One object is used for all messages in turn. */
final class MessageFields {
    private final List<String> names = new ArrayList<>();
    private final List<Object> values = new ArrayList<>();
    SettingsReader settings;
    /** Of a list: so many, in the order in which they came. */
    final List<EndpointEntry> entries = new ArrayList<>();
    int count;
    MessageFields load;

    void read(JsonParser in) throws IOException {
        open(in, "a message");
        names.clear();
        values.clear();
        count = 0;
        settings = null;
        load = null;
        while (!in.nextToken().isStructEnd()) {
            String name = in.currentName();
            JsonToken token = in.nextToken();
            if (name.equals("Setup") && token == JsonToken.START_OBJECT) {
                settings = new SettingsReader(in);
            } else if (name.equals("Entries") && token == JsonToken.START_ARRAY) {
                while (!in.nextToken().isStructEnd()) {
                    if (count == entries.size()) {
                        entries.add(new EndpointEntry());
                    }
                    entries.get(count++).read(in);
                }
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
                put(name, "{}");
                in.skipChildren();
            }
        }
    }

    private static Object whole(JsonParser in) throws IOException {
        boolean tooLong = in.getNumberType() == JsonParser.NumberType.BIG_INTEGER;
        return tooLong ? (Object) in.getDoubleValue() : (Object) in.getLongValue();
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

    private Object need(String name) {
        Object value = find(name);
        if (value == null) {
            throw new InvalidInputException(what() + " without " + name);
        }
        return value;
    }

    private String what() {
        return find("t") instanceof String s ? s : "a message";
    }

    String text(String name) {
        if (need(name) instanceof String s) {
            return s;
        }
        throw new InvalidInputException(what() + ": " + name + " is not text");
    }

    long whole(String name) {
        if (need(name) instanceof Long n) {
            return n;
        }
        throw new InvalidInputException(what() + ": " + name + " is not a whole number");
    }

    int index(String name) {
        return find(name) == null ? 0 : (int) whole(name);
    }

    double number(String name, double ifAbsent) {
        Object value = find(name);
        if (value == null) {
            return ifAbsent;
        }
        if (value instanceof Number n) {
            return n.doubleValue();
        }
        throw new InvalidInputException(what() + ": " + name + " is not a number");
    }

    boolean flag(String name) {
        Object value = find(name);
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        throw new InvalidInputException(what() + ": " + name + " is neither true nor false");
    }

    static void open(JsonParser in, String what) throws IOException {
        if ((in.currentToken() == null ? in.nextToken() : in.currentToken()) != JsonToken.START_OBJECT) {
            throw new InvalidInputException(what + " is not an object");
        }
    }

    static void array(JsonParser in, String what) {
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw new InvalidInputException(what + " is not an array");
        }
    }

    static double number(JsonParser in, String name) throws IOException {
        if (!in.currentToken().isNumeric()) {
            throw new InvalidInputException(name + " is not a number");
        }
        return in.getDoubleValue();
    }
}
