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
 * entries. Those that nobody asks for stay as they were written, in their order.
 */
final class JsonObject {
    private final String path;
    private final Map<String, Object> entries;

    private JsonObject(String path, Map<String, Object> entries) {
        this.path = path;
        this.entries = entries;
    }

    /** The outermost object of a configuration; changes of it change the tree. */
    static JsonObject of(Map<String, Object> tree) {
        return new JsonObject("", tree);
    }

    /** A copy of a whole configuration, which may be changed without changing the tree. */
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

    /** The entries as {@link rampshift.settings.JsonTree} writes them. */
    Map<String, Object> tree() {
        return entries;
    }

    /** The keys of the outermost object and of each one within it down to this key, joined by dots. */
    String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    Set<String> keys() {
        return entries.keySet();
    }

    /** A text; null for anything else. */
    String text(String key) {
        return entries.get(key) instanceof String text ? text : null;
    }

    /** A number; null for anything else. */
    BigDecimal number(String key) {
        return entries.get(key) instanceof BigDecimal number ? number : null;
    }

    /** Whether the value is true; anything else counts as false. */
    boolean flag(String key) {
        return Boolean.TRUE.equals(entries.get(key));
    }

    /** Any value as a report shows it; null where there is none. */
    String printed(String key) {
        Object value = entries.get(key);
        return value == null ? null : String.valueOf(value);
    }

    /** The elements of an array; none for anything else. */
    List<?> elements(String key) {
        return entries.get(key) instanceof List<?> list ? list : List.of();
    }

    /** The objects of an array; its other elements are left out. */
    List<JsonObject> objects(String key) {
        return elements(key).stream().filter(Map.class::isInstance)
                .map(element -> new JsonObject(path(key), entriesOf(element))).toList();
    }

    boolean hasObject(String key) {
        return entries.get(key) instanceof Map<?, ?>;
    }

    /** An object within this one; an empty one where there is none. */
    JsonObject object(String key) {
        Object value = entries.get(key);
        if (value != null && !(value instanceof Map<?, ?>)) {
            throw ConfigurationException.ofKey(key, "setting " + key + " is not an object");
        }
        return new JsonObject(path(key), value == null ? Map.of() : entriesOf(value));
    }

    /** An object within this one, added where there is none. */
    JsonObject objectOrAdded(String key) {
        entries.putIfAbsent(key, new LinkedHashMap<String, Object>());
        return object(key);
    }

    /** Sets a value and returns the one before, or null where there was none. */
    Object set(String key, Object value) {
        return entries.put(key, value);
    }

    void remove(String key) {
        entries.remove(key);
    }
}
