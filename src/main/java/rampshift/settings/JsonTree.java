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

/** Reads JSON into ordered maps and lists, and writes these as JSON without loss. */
public final class JsonTree {
    private static final JsonFactory JSON = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

    /** Converts the number at a parser's position to the type that the tree holds. */
    interface NumberReader {
        Object read(JsonParser in) throws IOException;
    }

    private JsonTree() {}

    /**
     * Reads one object. Numbers become {@link BigDecimal}, which preserves their notation. Throws a
     * {@link ConfigurationException} if the input is not one object, and an {@link IOException} with line and
     * column if it is not JSON.
     */
    public static Map<String, Object> read(byte[] bytes) throws IOException {
        try (JsonParser in = JSON.createParser(bytes)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new ConfigurationException("not an object");
            }
            Map<String, Object> tree = object(in, JsonParser::getDecimalValue);
            if (in.nextToken() != null) {
                throw new ConfigurationException("more than one object");
            }
            return tree;
        }
    }

    /** Returns the tree as indented JSON that ends with a line feed. */
    public static byte[] write(Map<String, Object> tree) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.setPrettyPrinter(new DefaultPrettyPrinter());
            writeValue(out, tree);
            out.writeRaw('\n');
        }
        return bytes.toByteArray();
    }

    /** Reads the rest of the object at the parser's position. */
    static Map<String, Object> object(JsonParser in, NumberReader numbers) throws IOException {
        Map<String, Object> entries = new LinkedHashMap<>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String key = in.currentName();
            in.nextToken();
            entries.put(key, value(in, numbers));
        }
        return entries;
    }

    private static Object value(JsonParser in, NumberReader numbers) throws IOException {
        JsonToken token = in.currentToken();
        if (token == JsonToken.START_OBJECT) {
            return object(in, numbers);
        }
        if (token == JsonToken.START_ARRAY) {
            return array(in, numbers);
        }
        if (token.isNumeric()) {
            return numbers.read(in);
        }
        if (token == JsonToken.VALUE_STRING) {
            return in.getText();
        }
        return token.isBoolean() ? in.getBooleanValue() : null;
    }

    private static List<Object> array(JsonParser in, NumberReader numbers) throws IOException {
        List<Object> elements = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            elements.add(value(in, numbers));
        }
        return elements;
    }

    private static void writeValue(JsonGenerator out, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            out.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.writeFieldName((String) entry.getKey());
                writeValue(out, entry.getValue());
            }
            out.writeEndObject();
        } else if (value instanceof List<?> list) {
            out.writeStartArray();
            for (Object element : list) {
                writeValue(out, element);
            }
            out.writeEndArray();
        } else if (value instanceof BigDecimal number) {
            out.writeNumber(number);
        } else if (value instanceof Boolean flag) {
            out.writeBoolean(flag);
        } else if (value instanceof String text) {
            out.writeString(text);
        } else {
            out.writeNull();
        }
    }
}
