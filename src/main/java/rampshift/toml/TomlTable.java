package rampshift.toml;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.text.similarity.LevenshteinDistance;
import rampshift.time.Span;

/** One table of a file, read strictly: each key that is asked for is known, all others are faults. */
public final class TomlTable {
    private static final Pattern SPAN = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)\\s*(us|ms|s|min)");
    private static final LevenshteinDistance DISTANCE = LevenshteinDistance.getDefaultInstance();

    private final Source source;
    private final JsonNode node;
    private final String path;
    private final Set<String> known = new LinkedHashSet<>();

    /** What all tables of a file share. */
    public record Source(String file, KeyPositions lines, List<String> faults) {
        public void fault(String path, String what) {
            faults.add(file + ":" + lines.of(path) + ": " + what);
        }
    }

    public TomlTable(Source source, JsonNode node, String path) {
        this.source = source;
        this.path = path;
        if (node != null && !node.isObject()) {
            source.fault(path, path + " is to be a table");
        }
        this.node = node != null && node.isObject() ? node : JsonNodeFactory.instance.objectNode();
    }

    public String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    public void fault(String key, String what) {
        source.fault(path(key), path(key) + " " + what);
    }

    private JsonNode at(String key) {
        known.add(key);
        return node.get(key);
    }

    public boolean has(String key) {
        return at(key) != null;
    }

    public double number(String key, double least, double most, double ifAbsent) {
        JsonNode value = at(key);
        if (value == null) {
            return ifAbsent;
        }
        if (!value.isNumber() || !(value.doubleValue() >= least && value.doubleValue() <= most)) {
            fault(key, "is " + value + ", expected a number from " + plain(least) + " to " + plain(most));
            return ifAbsent;
        }
        return value.doubleValue();
    }

    public int whole(String key, int least, int most, int ifAbsent) {
        JsonNode value = at(key);
        if (value == null) {
            return ifAbsent;
        }
        if (!value.isIntegralNumber() || value.longValue() < least || value.longValue() > most) {
            fault(key, "is " + value + ", expected a whole number from " + least + " to " + most);
            return ifAbsent;
        }
        return value.intValue();
    }

    public boolean flag(String key, boolean ifAbsent) {
        JsonNode value = at(key);
        if (value != null && !value.isBoolean()) {
            fault(key, "is " + value + ", expected true or false");
            return ifAbsent;
        }
        return value == null ? ifAbsent : value.booleanValue();
    }

    public String text(String key, String ifAbsent) {
        JsonNode value = at(key);
        if (value != null && !value.isTextual()) {
            fault(key, "is " + value + ", expected text in quotes");
            return ifAbsent;
        }
        return value == null ? ifAbsent : value.textValue();
    }

    /** Text that names things on the wire: no blanks, nothing that needs escaping. */
    public String name(String key) {
        String text = text(key, null);
        if (text == null || !text.matches("[A-Za-z0-9_.-]{1,40}")) {
            fault(key, "is " + (text == null ? "missing" : "\"" + text + "\"")
                    + ", expected a name of letters, digits, '-', '_' and '.'");
            return "?";
        }
        return text;
    }

    public Span span(String key, Span ifAbsent) {
        JsonNode value = at(key);
        if (value == null) {
            return ifAbsent;
        }
        Span span = span(value);
        if (span == null) {
            fault(key, "is " + value + ", expected a span such as \"250ms\" or \"1.5s\"");
            return ifAbsent;
        }
        return span;
    }

    private static Span span(JsonNode value) {
        Matcher m = value.isTextual() ? SPAN.matcher(value.textValue()) : null;
        if (m == null || !m.matches()) {
            return null;
        }
        double times = switch (m.group(2)) {
            case "us" -> 1;
            case "ms" -> 1_000;
            case "s" -> 1_000_000;
            default -> 60_000_000;
        };
        return new Span(Math.round(Double.parseDouble(m.group(1)) * times));
    }

    /** One span, or the two ends of a range. */
    public Range range(String key, Range ifAbsent) {
        JsonNode value = at(key);
        if (value == null) {
            return ifAbsent;
        }
        Span from = span(value.isArray() && value.size() == 2 ? value.get(0) : value);
        Span to = span(value.isArray() && value.size() == 2 ? value.get(1) : value);
        if (from == null || to == null || from.longerThan(to)) {
            fault(key, "is " + value + ", expected a span or a range such as [\"100ms\", \"2s\"]");
            return ifAbsent;
        }
        return new Range(from, to);
    }

    public <E extends Enum<E>> E oneOf(String key, Class<E> type, E ifAbsent) {
        String text = text(key, null);
        if (text == null) {
            return ifAbsent;
        }
        List<String> all = new ArrayList<>();
        for (E value : type.getEnumConstants()) {
            String name = value.name().toLowerCase(Locale.ROOT).replace('_', '-');
            if (name.equals(text)) {
                return value;
            }
            all.add(name);
        }
        fault(key, "is \"" + text + "\", expected one of " + String.join(", ", all));
        return ifAbsent;
    }

    public List<String> texts(String key, List<String> ifAbsent) {
        JsonNode value = at(key);
        if (value == null) {
            return ifAbsent;
        }
        List<String> texts = new ArrayList<>();
        for (JsonNode one : value) {
            texts.add(one.isTextual() ? one.textValue() : one.toString());
        }
        if (!value.isArray()) {
            fault(key, "is " + value + ", expected an array of texts");
        }
        return texts;
    }

    public TomlTable section(String key) {
        return new TomlTable(source, at(key), path(key));
    }

    public List<TomlTable> sections(String key) {
        JsonNode value = at(key);
        List<TomlTable> sections = new ArrayList<>();
        if (value != null && !value.isArray()) {
            fault(key, "is to be an array of tables, [[" + path(key) + "]]");
        } else if (value != null) {
            for (int i = 0; i < value.size(); i++) {
                sections.add(new TomlTable(source, value.get(i), path(key) + "[" + i + "]"));
            }
        }
        return sections;
    }

    /** The table as it stands, for what is passed on as it is. */
    public JsonNode raw(String key) {
        return at(key);
    }

    /** Whatever was not asked for is unknown. */
    public void end() {
        for (Iterator<String> names = node.fieldNames(); names.hasNext();) {
            String name = names.next();
            if (!known.contains(name)) {
                String nearest = known.stream().min((a, b) -> Integer.compare(DISTANCE.apply(a, name),
                        DISTANCE.apply(b, name))).orElse(null);
                fault(name, "is not known" + (nearest == null ? "" : "; the nearest key here is " + nearest));
            }
        }
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? String.valueOf((long) value)
                : String.valueOf(value);
    }
}
