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
 * What the new deployment has that no old configuration can tell.
 *
 * @param zones all zones, in the order in which lists and settings number them; at least one, none twice
 * @param zone the dispatcher's own, one of them
 * @param name the dispatcher's, or null for the old one
 * @param listen its address with a port, or null for the old one
 * @param discovery the endpoint list's address with a port, or null for the old one
 * @param dispatchers how many there are, or null where that is left out
 * @param reports how workers report their load
 * @param list how the endpoint list comes
 * @param askWithinMs how long a dispatcher may go without polling the list, 1 or more, or null for the old
 * figure
 * @param probes whether workers may be probed, or null for what the old configuration says
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

    /** A value that files spell as a word in lower case. */
    private interface Word {
        String name();

        /** The value as files spell it. */
        default String word() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** How workers report their load: not at all, with answers, or when probed. */
    enum LoadReports implements Word {
        OFF, INLINE, ON_PROBE
    }

    /** Whether a dispatcher polls for the endpoint list or is sent it. */
    enum ListDelivery implements Word {
        ON_REQUEST, PUSHED
    }

    private static final Set<String> KEYS = Set.of("zones", "zone", "name", "listen", "discovery",
            "dispatchers", "reports", "list", "ask_within_ms", "probes");
    private static final BigDecimal MAX_NUMBER = new BigDecimal(1_000_000_000);

    /**
     * Reads the file that {@code --shape} names. Throws a {@link ConfigurationException} that names the
     * key, or an {@link IOException} with line and column for what is no JSON.
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
            throw ConfigurationException.ofKey("zone", "zone is " + zone + ", none of zones");
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
            throw ConfigurationException.ofKey("zones", "zones is not a list of names, none of them twice");
        }
        return list.stream().map(String.class::cast).toList();
    }

    private static void checkAddress(Map<String, Object> tree, String key) {
        if (tree.get(key) != null) {
            Configuration.address(key, text(tree, key, null));
        }
    }

    private static String text(Map<String, Object> tree, String key, String ifAbsent) {
        Object value = tree.get(key);
        if (value != null && !(value instanceof String)) {
            throw ConfigurationException.ofKey(key, key + " is not text");
        }
        return value == null ? ifAbsent : (String) value;
    }

    /** The value of that word, the first one where the key is absent. */
    private static <W extends Word> W oneOf(Map<String, Object> tree, String key, W[] values) {
        String word = text(tree, key, values[0].word());
        for (W value : values) {
            if (value.word().equals(word)) {
                return value;
            }
        }
        String words = Arrays.stream(values).map(Word::word).collect(Collectors.joining(", "));
        throw ConfigurationException.ofKey(key, key + " is " + word + ", none of " + words);
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
        throw ConfigurationException.ofKey(key, key + " is not a number of 1 to " + MAX_NUMBER);
    }

    private static Boolean flag(Map<String, Object> tree, String key) {
        Object value = tree.get(key);
        if (value != null && !(value instanceof Boolean)) {
            throw ConfigurationException.ofKey(key, key + " is not true or false");
        }
        return (Boolean) value;
    }
}
