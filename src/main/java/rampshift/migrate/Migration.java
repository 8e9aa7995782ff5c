package rampshift.migrate;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import rampshift.settings.ConfigurationException;

/**
 * Makes the counterpart of a configuration for the new deployment: each client process with a dispatcher of
 * its own, workers that report no load, lists that must be polled, other zones. Does no I/O; that is {@link
 * MigrateCommand}'s.
 */
final class Migration {
    private static final Set<String> KNOWN_KEYS =
            Set.of("name", "listen", "discovery", "seed", "limits", "known",
                    "settings");
    private static final String SETTINGS = "settings.";

    private final TargetDeployment target;
    private final MigrationReport report = new MigrationReport();
    private final Map<String, Object> result;

    /**
     * Migrates a configuration that has been read without a fault. Throws a {@link ConfigurationException}
     * where neither it nor the target tells what the new one must hold.
     */
    Migration(Map<String, Object> old, TargetDeployment target) {
        this.target = target;
        result = copyOf(old);
        dropUnknownKeys();
        set(result, "", "name", target.name());
        set(result, "", "listen", target.listen());
        set(result, "", "discovery", target.discovery());
        dropKnownEndpoints();
        Map<String, Object> settings = object(result, "settings");
        migrateLoadReports(settings);
        migrateEndpointList(settings);
        migrateZones(settings);
        migrateProbes(settings);
        migrateDispatcherPool(settings);
        reviewTrafficTypes(settings);
        reviewTenants(settings);
    }

    /** The new configuration. */
    Map<String, Object> result() {
        return result;
    }

    /** What was changed, what was left out, and what is to be reviewed. */
    MigrationReport report() {
        return report;
    }

    private void dropUnknownKeys() {
        for (String key : List.copyOf(result.keySet())) {
            if (!KNOWN_KEYS.contains(key)) {
                result.remove(key);
                report.notCarriedOver(key + ": not known to this program");
            }
        }
    }

    /** Its workers are numbered by the old deployment's zones. */
    private void dropKnownEndpoints() {
        if (result.remove("known") instanceof Map<?, ?> list) {
            int workers = list.get("targets") instanceof List<?> targets ? targets.size() : 0;
            report.notCarriedOver("known, " + workers + " workers: they are of the old house");
        }
    }

    private void migrateLoadReports(Map<String, Object> settings) {
        Map<String, Object> load = objectOrNew(settings, "LoadInfo");
        set(load, SETTINGS + "LoadInfo.", "How", target.reports());
        if (!target.reports().equals("off")) {
            return;
        }
        Object names = load.get("Names");
        if (names instanceof List<?> list && !list.isEmpty()) {
            report.notCarriedOver("settings.LoadInfo.Names " + MigrationReport.text(names)
                    + ": workers report no load there");
        }
        load.put("Names", new ArrayList<>());
        if ("live".equals(settings.get("WeightSource"))) {
            report.notCarriedOver("settings.WeightSource live: weights that tell load are not listed there");
            set(settings, SETTINGS, "WeightSource", "nominal");
        }
        if (!Boolean.TRUE.equals(object(settings, "FamilyInfo").get("TellsStart"))) {
            report.toReview(
                    "settings.FamilyInfo.TellsStart is not true: with neither reports nor start notes a"
                            + " dispatcher knows nothing of a worker but its own tasks");
        }
    }

    private void migrateEndpointList(Map<String, Object> settings) {
        set(settings, SETTINGS, "Discovery", target.list());
        Map<String, Object> rules = objectOrNew(settings, "Rules");
        if (target.askWithinMs() != null) {
            set(rules, SETTINGS + "Rules.", "AskWithinMs", target.askWithinMs());
            return;
        }
        boolean stated = rules.get("AskWithinMs") instanceof BigDecimal within && within.signum() > 0;
        if (target.list().equals("on_request") && !stated) {
            throw ConfigurationException.ofKey("settings.Rules.AskWithinMs",
                    "settings.Rules.AskWithinMs is missing, and the list must be asked for there:"
                            + " the shape's ask_within_ms has to tell");
        }
    }

    private void migrateZones(Map<String, Object> settings) {
        List<Object> zones = new ArrayList<>(target.zones());
        set(settings, SETTINGS, "Zones", zones);
        set(settings, SETTINGS, "Zone", BigDecimal.valueOf(target.zones().indexOf(target.zone())));
        Object cost = object(settings, "Costs").get("CrossZone");
        if (cost instanceof BigDecimal figure && figure.signum() > 0) {
            report.toReview("settings.Costs.CrossZone " + figure + ": one price between any two of "
                    + zones.size() + " zones");
        }
    }

    private void migrateProbes(Map<String, Object> settings) {
        set(objectOrNew(settings, "Limits"), SETTINGS + "Limits.", "MayProbe", target.probes());
    }

    /** The number in a pool of dispatchers means nothing to one that serves a single client process. */
    private void migrateDispatcherPool(Map<String, Object> settings) {
        Object number = settings.remove("Me");
        if (number != null) {
            report.notCarriedOver("settings.Me " + MigrationReport.text(number)
                    + ": there is no pool of dispatchers there");
        }
        set(settings, SETTINGS, "PeersTotal", target.dispatchers());
        Object floor = object(settings, "Rules").get("ExtraFloor");
        if (floor != null) {
            report.toReview("settings.Rules.ExtraFloor " + MigrationReport.text(floor)
                    + ": each dispatcher has so many further assignments in a span,"
                    + " and their number is another");
        }
    }

    private void reviewTrafficTypes(Map<String, Object> settings) {
        for (Object row : (List<?>) settings.get("TrafficTypes")) {
            if (row instanceof Map<?, ?> type && "keyed".equals(type.get("Effect"))
                    && !"all".equals(type.get("DedupScope"))) {
                report.toReview(
                        "settings.TrafficTypes " + type.get("Name") + ": its repeats are dropped within one "
                                + (type.get("DedupScope") instanceof String scope ? scope : "cell")
                                + "; make sure that workers do so there before it is served");
            }
        }
    }

    private void reviewTenants(Map<String, Object> settings) {
        if (settings.get("Tenants") instanceof List<?> tenants && !tenants.isEmpty()) {
            report.toReview(
                    "settings.Tenants: QuotaPerS counts all dispatchers together, and the fleet is another");
        }
    }

    /** Sets a value unless it is null; reports it where the old one was another. */
    private void set(Map<String, Object> object, String pathPrefix, String key, Object value) {
        if (value == null) {
            return;
        }
        Object previous = object.put(key, value);
        if (!sameValue(previous, value)) {
            report.changed(pathPrefix + key, previous, value);
        }
    }

    /** Numbers are the same where they differ in trailing zeros alone. */
    private static boolean sameValue(Object one, Object other) {
        if (one instanceof BigDecimal number && other instanceof BigDecimal otherNumber) {
            return number.compareTo(otherNumber) == 0;
        }
        return Objects.equals(one, other);
    }

    private static Map<String, Object> copyOf(Map<String, Object> object) {
        Map<String, Object> copy = new LinkedHashMap<>();
        object.forEach((key, value) -> copy.put(key, copyOfValue(value)));
        return copy;
    }

    @SuppressWarnings("unchecked")
    private static Object copyOfValue(Object value) {
        if (value instanceof Map<?, ?> map) {
            return copyOf((Map<String, Object>) map);
        }
        if (value instanceof List<?> list) {
            return new ArrayList<>(list.stream().map(Migration::copyOfValue).toList());
        }
        return value;
    }

    /** An object within another, added where it is absent. */
    private static Map<String, Object> objectOrNew(Map<String, Object> parent, String key) {
        parent.putIfAbsent(key, new LinkedHashMap<String, Object>());
        return object(parent, key);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(Map<String, Object> parent, String key) {
        Object value = parent.get(key);
        if (value == null) {
            return Map.of();
        }
        if (value instanceof Map<?, ?>) {
            return (Map<String, Object>) value;
        }
        throw ConfigurationException.ofKey(key, "setting " + key + " is not an object");
    }
}
