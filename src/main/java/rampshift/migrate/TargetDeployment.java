package rampshift.migrate;

import java.io.IOException;
import java.math.BigDecimal;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import rampshift.settings.Configuration;
import rampshift.settings.ConfigurationException;
import rampshift.settings.JsonTree;

/**
 * The properties of the new deployment, which an old configuration does not contain.
 *
 * @param zones all distinct zones, in the order in which lists and settings number them; at least one
 * @param zone the dispatcher's own zone, one of {@code zones}
 * @param name the dispatcher's name, or null to keep the old one
 * @param listen the dispatcher's address with a port, or null to keep the old one
 * @param discovery the address of the discovery agent with a port, or null to keep the old one
 * @param dispatchers the number of dispatchers, or null if unstated
 * @param reports how workers report their load
 * @param list how the endpoint list is delivered
 * @param askWithinMs the maximum time between two polls of the list in milliseconds, at least 1, or null to
 *     keep the old value
 * @param probes whether workers may be probed, or null to keep the old value
 */
record TargetDeployment(
        List<String> zones,
        String zone,
        String name,
        String listen,
        String discovery,
        BigDecimal dispatchers,
        LoadReports reports,
        ListDelivery list,
        BigDecimal askWithinMs,
        Boolean probes) {

    /** A value that is spelled as a word in lower case in files. */
    private interface SpelledValue {
        String name();

        /** Returns the spelling of the value in files. */
        default String spelling() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** How workers report their load: not at all, with responses, or when probed. */
    enum LoadReports implements SpelledValue {
        OFF, INLINE, ON_PROBE
    }

    /** Whether a dispatcher polls for the endpoint list or is sent it. */
    enum ListDelivery implements SpelledValue {
        ON_REQUEST, PUSHED
    }

    private static final Set<String> KEYS = Set.of("zones", "zone", "name", "listen", "discovery",
            "dispatchers", "reports", "list", "ask_within_ms", "probes");
    private static final BigDecimal MAX_NUMBER = new BigDecimal(1_000_000_000);

    /**
     * Reads the file named by {@code --shape}. Throws {@link ConfigurationException} with the key of an
     * invalid value, or {@link IOException} with line and column for invalid JSON.
     */
    static TargetDeployment read(byte[] bytes) throws IOException {
        Map<String, Object> tree = JsonTree.read(bytes);
        for (String key : tree.keySet()) {
            if (!KEYS.contains(key)) {
                throw ConfigurationException.ofKey(key, "unknown key " + key);
            }
        }
        List<String> zones = zones(tree.get("zones"));
        String zone = text(tree, "zone", null);
        if (!zones.contains(zone)) {
            throw ConfigurationException.ofKey("zone", "zone is " + zone + ", expected one of zones");
        }
        checkAddress(tree, "listen");
        checkAddress(tree, "discovery");
        return new TargetDeployment(zones, zone, text(tree, "name", null), text(tree, "listen", null),
                text(tree, "discovery", null), number(tree, "dispatchers"),
                oneOf(tree, "reports", LoadReports.values()), oneOf(tree, "list", ListDelivery.values()),
                number(tree, "ask_within_ms"), flag(tree, "probes"));
    }

    private static List<String> zones(Object value) {
        if (!(value instanceof List<?> list) || list.isEmpty()
                || !list.stream().allMatch(zone -> zone instanceof String text && !text.isEmpty())
                || new HashSet<>(list).size() < list.size()) {
            throw ConfigurationException.ofKey("zones", "zones is not a list of distinct names");
        }
        return list.stream().map(String.class::cast).toList();
    }

    private static void checkAddress(Map<String, Object> tree, String key) {
        if (tree.get(key) != null) {
            Configuration.address(key, text(tree, key, null));
        }
    }

    private static String text(Map<String, Object> tree, String key, String defaultValue) {
        Object value = tree.get(key);
        if (value != null && !(value instanceof String)) {
            throw ConfigurationException.ofKey(key, key + " is not a string");
        }
        return value == null ? defaultValue : (String) value;
    }

    /** Returns the value with the given spelling, or the first value if the key is absent. */
    private static <W extends SpelledValue> W oneOf(Map<String, Object> tree, String key, W[] values) {
        String spelling = text(tree, key, values[0].spelling());
        for (W value : values) {
            if (value.spelling().equals(spelling)) {
                return value;
            }
        }
        String spellings =
                Arrays.stream(values).map(SpelledValue::spelling).collect(Collectors.joining(", "));
        throw ConfigurationException.ofKey(key, key + " is " + spelling + ", expected one of " + spellings);
    }

    private static BigDecimal number(Map<String, Object> tree, String key) {
        Object value = tree.get(key);
        if (value == null) {
            return null;
        }
        if (value instanceof BigDecimal number && number.compareTo(BigDecimal.ONE) >= 0
                && number.compareTo(MAX_NUMBER) <= 0) {
            return number;
        }
        throw ConfigurationException.ofKey(key, key + " is not a number from 1 to " + MAX_NUMBER);
    }

    private static Boolean flag(Map<String, Object> tree, String key) {
        Object value = tree.get(key);
        if (value != null && !(value instanceof Boolean)) {
            throw ConfigurationException.ofKey(key, key + " is not true or false");
        }
        return (Boolean) value;
    }
}
