package rampshift.migrate;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rampshift.settings.ConfigurationException;

/**
 * One object of a configuration as {@link rampshift.settings.JsonTree} reads it, with typed access to its
 * entries. Entries that are not changed keep their text and their order.
 */
final class JsonObject {
    private final String path;
    private final Map<String, Object> entries;

    private JsonObject(String path, Map<String, Object> entries) {
        this.path = path;
        this.entries = entries;
    }

    /** Returns the root object of a configuration; changing it changes the tree. */
    static JsonObject of(Map<String, Object> tree) {
        return new JsonObject("", tree);
    }

    /** Returns a deep copy of a configuration, which can be changed without changing the tree. */
    static JsonObject copyOf(Map<String, Object> tree) {
        return of(copyOfEntries(tree));
    }

    private static Map<String, Object> copyOfEntries(Map<String, Object> entries) {
        Map<String, Object> copy = new LinkedHashMap<>();
        entries.forEach((key, value) -> copy.put(key, copyOfValue(value)));
        return copy;
    }

    private static Object copyOfValue(Object value) {
        if (value instanceof Map<?, ?>) {
            return copyOfEntries(entriesOf(value));
        }
        if (value instanceof List<?> list) {
            return new ArrayList<>(list.stream().map(JsonObject::copyOfValue).toList());
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> entriesOf(Object object) {
        return (Map<String, Object>) object;
    }

    /** Returns the entries as {@link rampshift.settings.JsonTree} writes them. */
    Map<String, Object> tree() {
        return entries;
    }

    /** Returns the path of a key: the keys from the root object down to it, joined by dots. */
    String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    Set<String> keys() {
        return entries.keySet();
    }

    /** Returns a string, or null if the value is anything else. */
    String text(String key) {
        return entries.get(key) instanceof String text ? text : null;
    }

    /** Returns a number, or null if the value is anything else. */
    BigDecimal number(String key) {
        return entries.get(key) instanceof BigDecimal number ? number : null;
    }

    /** Returns whether the value is true; anything else counts as false. */
    boolean flag(String key) {
        return Boolean.TRUE.equals(entries.get(key));
    }

    /** Returns any value as text for the report, or null if it is absent. */
    String toText(String key) {
        Object value = entries.get(key);
        return value == null ? null : String.valueOf(value);
    }

    /** Returns the elements of an array; none if the value is anything else. */
    List<?> elements(String key) {
        return entries.get(key) instanceof List<?> list ? list : List.of();
    }

    /** Returns the objects in an array, without its other elements. */
    List<JsonObject> objects(String key) {
        return elements(key).stream().filter(Map.class::isInstance)
                .map(element -> new JsonObject(path(key), entriesOf(element))).toList();
    }

    boolean hasObject(String key) {
        return entries.get(key) instanceof Map<?, ?>;
    }

    /** Returns an object within this one, or an empty object if it is absent. */
    JsonObject object(String key) {
        Object value = entries.get(key);
        if (value != null && !(value instanceof Map<?, ?>)) {
            throw ConfigurationException.ofKey(key, "setting " + key + " is not an object");
        }
        return new JsonObject(path(key), value == null ? Map.of() : entriesOf(value));
    }

    /** Returns an object within this one and adds it if it is absent. */
    JsonObject getOrAddObject(String key) {
        entries.putIfAbsent(key, new LinkedHashMap<String, Object>());
        return object(key);
    }

    /** Sets a value and returns the previous one, or null if there was none. */
    Object set(String key, Object value) {
        return entries.put(key, value);
    }

    void remove(String key) {
        entries.remove(key);
    }
}
