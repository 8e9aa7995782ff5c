package rampshift.migrate;

import java.io.IOException;
import java.math.BigDecimal;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rampshift.settings.Configuration;
import rampshift.settings.InvalidInputException;
import rampshift.settings.JsonTree;

/**
 * What the new house has that no old configuration can tell.
 *
 * @param zones all zones, in the order in which lists and settings number them; at least one, none twice
 * @param zone the dispatcher's own, one of them
 * @param name the dispatcher's, or null for the old one
 * @param listen its address with a port, or null for the old one
 * @param discovery the list's address with a port, or null for the old one
 * @param dispatchers how many there are, or null where that is left out
 * @param reports how workers report their load: off, inline or on_probe
 * @param list how the list comes: on_request or pushed
 * @param askWithinMs how long a dispatcher may go without asking for the list, over 0, or null for the old
 * figure
 * @param probes whether workers may be probed, or null for the old word
 */
record TargetDeployment(List<String> zones, String zone, String name, String listen, String discovery,
        BigDecimal dispatchers,
        String reports, String list, BigDecimal askWithinMs, Boolean probes) {

    private static final Set<String> KEYS =
            Set.of("zones", "zone", "name", "listen", "discovery", "dispatchers",
                    "reports", "list", "ask_within_ms", "probes");

    /** Throws a Malformed that names the key, or an IOException with the place where it is no JSON. */
    static TargetDeployment read(byte[] bytes) throws IOException {
        Map<String, Object> tree = JsonTree.read(bytes);
        for (String key : tree.keySet()) {
            if (!KEYS.contains(key)) {
                throw new InvalidInputException("unknown key " + key);
            }
        }
        List<String> zones = zones(tree.get("zones"));
        String zone = text(tree, "zone", null);
        if (!zones.contains(zone)) {
            throw new InvalidInputException("zone is " + zone + ", none of zones");
        }
        for (String address : List.of("listen", "discovery")) {
            if (tree.get(address) != null) {
                Configuration.address(address, text(tree, address, null));
            }
        }
        return new TargetDeployment(zones, zone, text(tree, "name", null), text(tree, "listen", null),
                text(tree, "discovery", null), number(tree, "dispatchers"),
                one(tree, "reports", "off", "inline", "on_probe"), one(tree, "list", "on_request", "pushed"),
                number(tree, "ask_within_ms"), flag(tree.get("probes")));
    }

    private static List<String> zones(Object value) {
        if (!(value instanceof List<?> list) || list.isEmpty()
                || !list.stream().allMatch(z -> z instanceof String s && !s.isEmpty())
                || new HashSet<>(list).size() < list.size()) {
            throw new InvalidInputException("zones is not a list of names, none of them twice");
        }
        return list.stream().map(String.class::cast).toList();
    }

    private static String text(Map<String, Object> tree, String key, String ifAbsent) {
        Object value = tree.get(key);
        if (value != null && !(value instanceof String)) {
            throw new InvalidInputException(key + " is not text");
        }
        return value == null ? ifAbsent : (String) value;
    }

    /** One of these words, the first where it is absent. */
    private static String one(Map<String, Object> tree, String key, String... words) {
        String word = text(tree, key, words[0]);
        if (!List.of(words).contains(word)) {
            throw new InvalidInputException(key + " is " + word + ", none of " + String.join(", ", words));
        }
        return word;
    }

    private static BigDecimal number(Map<String, Object> tree, String key) {
        Object value = tree.get(key);
        if (value == null || value instanceof BigDecimal n && n.compareTo(BigDecimal.ONE) >= 0
                && n.compareTo(new BigDecimal(1_000_000_000)) <= 0) {
            return (BigDecimal) value;
        }
        throw new InvalidInputException(key + " is not a number of 1 to 1000000000");
    }

    private static Boolean flag(Object value) {
        if (value != null && !(value instanceof Boolean)) {
            throw new InvalidInputException("probes is not true or false");
        }
        return (Boolean) value;
    }
}
