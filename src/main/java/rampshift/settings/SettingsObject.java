package rampshift.settings;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import rampshift.time.Span;

/** One JSON object of the settings, with typed access to its entries. Its numbers are doubles. */
final class SettingsObject {
    private final String name;
    private final Map<String, Object> entries;

    /** The name is the key under which it stands; empty for the settings as a whole. */
    SettingsObject(String name, Map<String, Object> entries) {
        this.name = name;
        this.entries = entries;
    }

    /** A value of the settings that has to be an object. */
    @SuppressWarnings("unchecked")
    static SettingsObject of(String name, Object value) {
        if (value instanceof Map) {
            return new SettingsObject(name, (Map<String, Object>) value);
        }
        throw ConfigurationException.ofKey(name, "setting " + name + " is not an object");
    }

    private String path(String key) {
        return name.isEmpty() ? key : name + "." + key;
    }

    /** A fault of the key; the description follows the key's path. */
    private ConfigurationException fault(String key, String description) {
        return ConfigurationException.ofKey(path(key), "setting " + path(key) + " " + description);
    }

    /** The value as it was read; null where there is none. */
    Object get(String key) {
        return entries.get(key);
    }

    boolean has(String key) {
        return entries.get(key) != null;
    }

    /** Whether the value is that text. */
    boolean is(String key, String text) {
        return text.equals(entries.get(key));
    }

    /** An object within this one; an empty one where there is none. */
    SettingsObject object(String key) {
        return has(key) ? of(key, entries.get(key)) : new SettingsObject(key, Map.of());
    }

    /** An array; an empty one where there is none. */
    @SuppressWarnings("unchecked")
    List<Object> list(String key) {
        Object value = entries.get(key);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List) {
            return (List<Object>) value;
        }
        throw ConfigurationException.ofKey(path(key), "setting " + key + " is not an array");
    }

    double number(String key, double ifAbsent) {
        Object value = entries.get(key);
        if (value == null) {
            return ifAbsent;
        }
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        throw ConfigurationException.ofKey(path(key), "setting " + key + " is not a number");
    }

    double requiredNumber(String key) {
        if (!has(key)) {
            throw ConfigurationException.ofKey(path(key), "the settings lack " + path(key));
        }
        return number(key, 0);
    }

    /** A number of the minimum or more; it is taken for 0 where there is none. */
    double numberOfAtLeast(double minimum, String key) {
        double value = number(key, 0);
        if (!(value >= minimum)) {
            throw fault(key,
                    (has(key) ? "is " + value : "is missing") + ", expected " + minimum + " or more");
        }
        return value;
    }

    /** A number within an array; where there is none at that index, the number for its absence. */
    double element(String key, int index, double ifAbsent) {
        List<Object> values = list(key);
        return index < values.size() && values.get(index) instanceof Number number ? number.doubleValue()
                : ifAbsent;
    }

    /** A number of milliseconds. */
    Span span(String key, double millisIfAbsent) {
        return Span.ofMillis(number(key, millisIfAbsent));
    }

    /** Whether the value is true; anything else counts as false. */
    boolean flag(String key) {
        return Boolean.TRUE.equals(entries.get(key));
    }

    /** True or false; false where there is none, a fault for anything else. */
    boolean strictFlag(String key) {
        Object value = entries.get(key);
        if (value != null && !(value instanceof Boolean)) {
            throw fault(key, "is " + value + ", expected true or false");
        }
        return flag(key);
    }

    /**
     * Indexes into another list of the settings; null where none are stated.
     *
     * @param size how many elements that list has; 0 where it is not stated
     */
    Set<Integer> indexes(String key, int size) {
        if (!has(key)) {
            return null;
        }
        Set<Integer> indexes = new TreeSet<>();
        for (Object value : list(key)) {
            indexes.add(index(key, value, size));
        }
        if (indexes.isEmpty()) {
            throw fault(key, "is empty: the type could run nowhere");
        }
        return indexes;
    }

    private int index(String key, Object value, int size) {
        if (value instanceof Number number && number.doubleValue() == number.intValue()
                && number.intValue() >= 0
                && (size == 0 || number.intValue() < size)) {
            return number.intValue();
        }
        throw fault(key,
                "holds " + value + ", expected places from 0" + (size > 0 ? " to " + (size - 1) : ""));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof SettingsObject object && entries.equals(object.entries);
    }

    @Override
    public int hashCode() {
        return entries.hashCode();
    }
}
