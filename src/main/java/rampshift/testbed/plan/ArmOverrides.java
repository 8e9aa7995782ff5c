package rampshift.testbed.plan;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.regex.Pattern;
import rampshift.toml.TomlTable;

/**
 * Replaces values in the tree of a fleet file by those of an arm. The tree is read and validated afterwards,
 * as without an arm.
 */
final class ArmOverrides {
    private static final Pattern PATH_SEPARATOR = Pattern.compile("[.\\[\\]]+");
    private static final Pattern ARRAY_INDEX = Pattern.compile("\\d{1,6}");

    private final TomlTable.Source source;
    private final JsonNode root;

    /** Creates overrides for the tree with the given root; faults are added to the source. */
    ArmOverrides(TomlTable.Source source, JsonNode root) {
        this.source = source;
        this.root = root;
    }

    /** Applies the overrides of the named arm. A missing arm is a fault. */
    void apply(String armName) {
        JsonNode arms = root.path("arm");
        for (int i = 0; i < arms.size(); i++) {
            JsonNode arm = arms.get(i);
            if (arm.path("name").asText().equals(armName)) {
                apply(arm.path("set"), "arm[" + i + "].set.");
                return;
            }
        }
        source.fault("arm", "there is no arm \"" + armName + "\"");
    }

    private void apply(JsonNode overrides, String overridesPath) {
        for (Map.Entry<String, JsonNode> override : overrides.properties()) {
            String overridePath = overridesPath + override.getKey();
            if (!set(override.getKey(), override.getValue())) {
                source.fault(overridePath, overridePath + " is not a path in this file");
            }
        }
    }

    /** Sets the value at a path such as {@code type[0].work}; returns whether the path exists. */
    private boolean set(String path, JsonNode value) {
        String[] steps = PATH_SEPARATOR.split(path);
        if (steps.length == 0) {
            return true; // a path that consists only of separators changes nothing
        }
        JsonNode parent = root;
        for (int i = 0; i < steps.length - 1; i++) {
            parent = child(parent, steps[i]);
        }
        return setChild(parent, steps[steps.length - 1], value);
    }

    /**
     * Returns the child of an array or a table, or null. A missing child of a table is added as an empty
     * table.
     */
    private static JsonNode child(JsonNode parent, String step) {
        if (parent instanceof ArrayNode array && isIndexOf(array, step)) {
            return array.get(Integer.parseInt(step));
        }
        if (parent instanceof ObjectNode table) {
            return table.has(step) ? table.get(step) : table.putObject(step);
        }
        return null;
    }

    private static boolean setChild(JsonNode parent, String step, JsonNode value) {
        if (parent instanceof ArrayNode array && isIndexOf(array, step)) {
            array.set(Integer.parseInt(step), value);
            return true;
        }
        if (parent instanceof ObjectNode table) {
            table.set(step, value);
            return true;
        }
        return false;
    }

    private static boolean isIndexOf(ArrayNode array, String step) {
        return ARRAY_INDEX.matcher(step).matches() && Integer.parseInt(step) < array.size();
    }
}
