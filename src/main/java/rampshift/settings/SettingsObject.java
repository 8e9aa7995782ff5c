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

    /** Creates the object; its name is the key of the object, or empty for the settings as a whole. */
    SettingsObject(String name, Map<String, Object> entries) {
        this.name = name;
        this.entries = entries;
    }

    /** Returns a value of the settings that must be an object. */
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

    /** Returns the exception for a key; its message is the path of the key and the description. */
    private ConfigurationException fault(String key, String description) {
        return ConfigurationException.ofKey(path(key), "setting " + path(key) + " " + description);
    }

    /** Returns the value as read; null if there is none. */
    Object get(String key) {
        return entries.get(key);
    }

    boolean has(String key) {
        return entries.get(key) != null;
    }

    /** Returns whether the value is this text. */
    boolean is(String key, String text) {
        return text.equals(entries.get(key));
    }

    /** Returns an object within this one; an empty one if there is none. */
    SettingsObject object(String key) {
        return has(key) ? of(key, entries.get(key)) : new SettingsObject(key, Map.of());
    }

    /** Returns an array; an empty one if there is none. */
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

    /** Returns a number that must be at least the minimum; an absent number counts as 0. */
    double numberOfAtLeast(double minimum, String key) {
        double value = number(key, 0);
        if (!(value >= minimum)) {
            throw fault(key,
                    (has(key) ? "is " + value : "is missing") + ", expected " + minimum + " or more");
        }
        return value;
    }

    /** Returns a number within an array, or the default if there is none at that index. */
    double element(String key, int index, double ifAbsent) {
        List<Object> values = list(key);
        return index < values.size() && values.get(index) instanceof Number number ? number.doubleValue()
                : ifAbsent;
    }

    /** Returns a number of milliseconds as a span. */
    Span span(String key, double millisIfAbsent) {
        return Span.ofMillis(number(key, millisIfAbsent));
    }

    /** Returns whether the value is true; any other value counts as false. */
    boolean flag(String key) {
        return Boolean.TRUE.equals(entries.get(key));
    }

    /** Returns a boolean, false if there is none; any other value is a fault. */
    boolean strictFlag(String key) {
        Object value = entries.get(key);
        if (value != null && !(value instanceof Boolean)) {
            throw fault(key, "is " + value + ", expected true or false");
        }
        return flag(key);
    }

    /**
     * Returns indexes into another list of the settings; null if the key is absent.
     *
     * @param size the size of that list; 0 if it is absent
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
            throw fault(key, "is empty: no worker could run the traffic type");
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
                "holds " + value + ", expected indexes from 0" + (size > 0 ? " to " + (size - 1) : ""));
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
