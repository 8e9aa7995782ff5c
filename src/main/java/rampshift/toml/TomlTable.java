package rampshift.toml;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.text.similarity.LevenshteinDistance;
import rampshift.settings.ConfigurationFault;
import rampshift.settings.SourcePosition;
import rampshift.time.Span;

/**
 * One table of a file. Reading is strict: a key that has been requested is known, and all others are faults.
 * Reading never throws: an invalid value is recorded as a fault and treated as absent.
 */
public final class TomlTable {
    private static final Pattern SPAN = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)\\s*(us|ms|s|min)");
    private static final String NAME = "[A-Za-z0-9_.-]{1,40}";
    private static final String INVALID_NAME = "?";
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final double MICROS_PER_MINUTE = 60_000_000;
    /** Integers below this value are printed without a fraction or an exponent. */
    private static final double MAX_PLAIN_INTEGER = 1e15;
    private static final LevenshteinDistance DISTANCE = LevenshteinDistance.getDefaultInstance();

    private final Source source;
    private final JsonNode node;
    private final String path;
    private final Set<String> requestedKeys = new LinkedHashSet<>();

    /**
     * The state shared by all tables of a file.
     *
     * @param file the name of the file in error messages
     * @param positions the lines of its keys
     * @param faults the faults found so far
     */
    public record Source(String file, KeyPositions positions, List<ConfigurationFault> faults) {
        /** Records a fault of the key with that path; the description includes the path. */
        public void fault(String path, String description) {
            SourcePosition position = SourcePosition.ofLine(file, positions.line(path));
            faults.add(new ConfigurationFault(position, path, description));
        }
    }

    /** Creates the table at a path, which is empty for the root; a null node stands for an empty table. */
    public TomlTable(Source source, JsonNode node, String path) {
        this.source = source;
        this.path = path;
        if (node != null && !node.isObject()) {
            source.fault(path, path + " must be a table");
        }
        this.node = node != null && node.isObject() ? node : JsonNodeFactory.instance.objectNode();
    }

    /** Returns the path of a key of this table, such as {@code type[1].due}. */
    public String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** Records a fault of a key; the message is its path followed by the description. */
    public void fault(String key, String description) {
        source.fault(path(key), path(key) + " " + description);
    }

    private JsonNode get(String key) {
        requestedKeys.add(key);
        return node.get(key);
    }

    /** Returns whether the key is present, with any value. */
    public boolean has(String key) {
        return get(key) != null;
    }

    /** Returns a number between two inclusive bounds. */
    public double number(String key, double minimum, double maximum, double defaultValue) {
        JsonNode value = get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isNumber() || !(value.doubleValue() >= minimum && value.doubleValue() <= maximum)) {
            fault(key,
                    "is " + value + ", expected a number from " + format(minimum) + " to " + format(maximum));
            return defaultValue;
        }
        return value.doubleValue();
    }

    /** Returns an integer between two inclusive bounds. */
    public int integer(String key, int minimum, int maximum, int defaultValue) {
        JsonNode value = get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isIntegralNumber() || value.longValue() < minimum || value.longValue() > maximum) {
            fault(key, "is " + value + ", expected a whole number from " + minimum + " to " + maximum);
            return defaultValue;
        }
        return value.intValue();
    }

    /** Returns a boolean. */
    public boolean flag(String key, boolean defaultValue) {
        JsonNode value = get(key);
        if (value != null && !value.isBoolean()) {
            fault(key, "is " + value + ", expected true or false");
            return defaultValue;
        }
        return value == null ? defaultValue : value.booleanValue();
    }

    /** Returns a string. */
    public String text(String key, String defaultValue) {
        JsonNode value = get(key);
        if (value != null && !value.isTextual()) {
            fault(key, "is " + value + ", expected text in quotes");
            return defaultValue;
        }
        return value == null ? defaultValue : value.textValue();
    }

    /** Returns a required name for use on the wire: 1 to 40 letters, digits, '-', '_' and '.'. */
    public String name(String key) {
        String text = text(key, null);
        if (text == null || !text.matches(NAME)) {
            fault(key, "is " + (text == null ? "missing" : "\"" + text + "\"")
                    + ", expected a name of letters, digits, '-', '_' and '.'");
            return INVALID_NAME;
        }
        return text;
    }

    /** Returns a span such as "250ms"; units are us, ms, s and min. */
    public Span span(String key, Span defaultValue) {
        JsonNode value = get(key);
        if (value == null) {
            return defaultValue;
        }
        Span span = spanOrNull(value);
        if (span == null) {
            fault(key, "is " + value + ", expected a span such as \"250ms\" or \"1.5s\"");
            return defaultValue;
        }
        return span;
    }

    private static Span spanOrNull(JsonNode value) {
        if (!value.isTextual()) {
            return null;
        }
        Matcher matcher = SPAN.matcher(value.textValue());
        if (!matcher.matches()) {
            return null;
        }
        double unitMicros = switch (matcher.group(2)) {
            case "us" -> 1;
            case "ms" -> MICROS_PER_MILLI;
            case "s" -> MICROS_PER_SECOND;
            default -> MICROS_PER_MINUTE;
        };
        return new Span(Math.round(Double.parseDouble(matcher.group(1)) * unitMicros));
    }

    /** Returns a range, given as one span or as an array with its two bounds. */
    public Range range(String key, Range defaultValue) {
        JsonNode value = get(key);
        if (value == null) {
            return defaultValue;
        }
        boolean isPair = value.isArray() && value.size() == 2;
        Span from = spanOrNull(isPair ? value.get(0) : value);
        Span to = spanOrNull(isPair ? value.get(1) : value);
        if (from == null || to == null || from.longerThan(to)) {
            fault(key, "is " + value + ", expected a span or a range such as [\"100ms\", \"2s\"]");
            return defaultValue;
        }
        return new Range(from, to);
    }

    /** Returns an enum constant, which the file spells in lower case with hyphens. */
    public <E extends Enum<E>> E oneOf(String key, Class<E> type, E defaultValue) {
        String text = text(key, null);
        if (text == null) {
            return defaultValue;
        }
        List<String> names = new ArrayList<>();
        for (E constant : type.getEnumConstants()) {
            String name = constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
            if (name.equals(text)) {
                return constant;
            }
            names.add(name);
        }
        fault(key, "is \"" + text + "\", expected one of " + String.join(", ", names));
        return defaultValue;
    }

    /** Returns an array of strings. */
    public List<String> strings(String key, List<String> defaultValue) {
        JsonNode value = get(key);
        if (value == null) {
            return defaultValue;
        }
        List<String> texts = new ArrayList<>();
        for (JsonNode element : value) {
            texts.add(element.isTextual() ? element.textValue() : element.toString());
        }
        if (!value.isArray()) {
            fault(key, "is " + value + ", expected an array of texts");
        }
        return texts;
    }

    /** Returns a table within this one, or an empty table if the key is absent. */
    public TomlTable table(String key) {
        return new TomlTable(source, get(key), path(key));
    }

    /** Returns an array of tables, or an empty list if the key is absent. */
    public List<TomlTable> tables(String key) {
        JsonNode value = get(key);
        List<TomlTable> tables = new ArrayList<>();
        if (value != null && !value.isArray()) {
            fault(key, "must be an array of tables, [[" + path(key) + "]]");
        } else if (value != null) {
            for (int i = 0; i < value.size(); i++) {
                tables.add(new TomlTable(source, value.get(i), path(key) + "[" + i + "]"));
            }
        }
        return tables;
    }

    /** Returns the parsed value for use by another reader, or null if the key is absent. */
    public JsonNode node(String key) {
        return get(key);
    }

    /** Records a fault for each key that has not been requested; call this after reading all keys. */
    public void rejectUnknownKeys() {
        for (Iterator<String> names = node.fieldNames(); names.hasNext();) {
            String name = names.next();
            if (!requestedKeys.contains(name)) {
                String nearest = nearestRequestedKey(name);
                fault(name, "is not known" + (nearest == null ? "" : "; the nearest key here is " + nearest));
            }
        }
    }

    private String nearestRequestedKey(String name) {
        return requestedKeys.stream().min(Comparator.comparingInt(key -> DISTANCE.apply(key, name)))
                .orElse(null);
    }

    private static String format(double value) {
        boolean integer = value == Math.rint(value) && Math.abs(value) < MAX_PLAIN_INTEGER;
        return integer ? String.valueOf((long) value) : String.valueOf(value);
    }
}
