package rampshift.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.util.DefaultPrettyPrinter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** JSON as plain maps and lists that keep their order. */
public final class JsonTree {
    private static final JsonFactory JSON = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

    /** How a number is kept. */
    interface Numbers {
        Object of(JsonParser at) throws IOException;
    }

    private JsonTree() {}

    /**
     * Its numbers are kept as written. Throws a Malformed for what is no object, and an IOException, with
     * line and
     * column, for what is no JSON.
     */
    public static Map<String, Object> read(byte[] bytes) throws IOException {
        try (JsonParser in = JSON.createParser(bytes)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidInputException("not an object");
            }
            Map<String, Object> tree = object(in, JsonParser::getDecimalValue);
            if (in.nextToken() != null) {
                throw new InvalidInputException("more than one object");
            }
            return tree;
        }
    }

    public static byte[] write(Map<String, Object> tree) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.setPrettyPrinter(new DefaultPrettyPrinter());
            value(json, tree);
            json.writeRaw('\n');
        }
        return out.toByteArray();
    }

    /** The rest of the object in which the parser stands. */
    static Map<String, Object> object(JsonParser in, Numbers numbers) throws IOException {
        Map<String, Object> result = new LinkedHashMap<>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String name = in.currentName();
            in.nextToken();
            result.put(name, value(in, numbers));
        }
        return result;
    }

    private static Object value(JsonParser in, Numbers numbers) throws IOException {
        JsonToken token = in.currentToken();
        if (token == JsonToken.START_OBJECT) {
            return object(in, numbers);
        }
        if (token == JsonToken.START_ARRAY) {
            List<Object> result = new ArrayList<>();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                result.add(value(in, numbers));
            }
            return result;
        }
        if (token.isNumeric()) {
            return numbers.of(in);
        }
        if (token == JsonToken.VALUE_STRING) {
            return in.getText();
        }
        return token.isBoolean() ? in.getBooleanValue() : null;
    }

    private static void value(JsonGenerator json, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            json.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                json.writeFieldName((String) entry.getKey());
                value(json, entry.getValue());
            }
            json.writeEndObject();
        } else if (value instanceof List<?> list) {
            json.writeStartArray();
            for (Object entry : list) {
                value(json, entry);
            }
            json.writeEndArray();
        } else if (value instanceof BigDecimal number) {
            json.writeNumber(number);
        } else if (value instanceof Boolean flag) {
            json.writeBoolean(flag);
        } else if (value instanceof String text) {
            json.writeString(text);
        } else {
            json.writeNull();
        }
    }
}
