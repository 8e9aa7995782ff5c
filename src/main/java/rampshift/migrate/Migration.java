package rampshift.migrate;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import rampshift.settings.ConfigurationException;

/**
 * Derives the configuration for a new deployment from that of an old one. In the new deployment, each client
 * process has its own dispatcher, workers may report no load, endpoint lists may have to be polled, and the
 * zones differ. Does no I/O.
 */
final class Migration {
    private static final Set<String> KNOWN_KEYS =
            Set.of("name", "listen", "discovery", "seed", "limits", "known", "settings");
    private static final String LIVE_WEIGHTS = "live";
    private static final String NOMINAL_WEIGHTS = "nominal";

    private final SourceDeployment source;
    private final TargetDeployment target;
    private final MigrationReport report = new MigrationReport();
    private final JsonObject result;

    /**
     * Migrates a valid configuration. Throws {@link ConfigurationException} if neither it nor the target
     * states a required value.
     */
    Migration(Map<String, Object> old, TargetDeployment target) {
        source = SourceDeployment.of(JsonObject.of(old));
        this.target = target;
        result = JsonObject.copyOf(old);
        dropUnknownKeys();
        set(result, "name", target.name());
        set(result, "listen", target.listen());
        set(result, "discovery", target.discovery());
        dropKnownEndpoints();
        JsonObject settings = result.object("settings");
        migrateLoadReports(settings);
        migrateEndpointList(settings);
        migrateZones(settings);
        set(settings.getOrAddObject("Limits"), "MayProbe", target.probes());
        migrateDispatcherPool(settings);
        reviewTrafficTypes();
        reviewTenants();
    }

    /** Returns the new configuration, as {@link rampshift.settings.JsonTree} writes it. */
    Map<String, Object> result() {
        return result.tree();
    }

    /** Returns the changes, the omissions and the parts to review. */
    MigrationReport report() {
        return report;
    }

    private void dropUnknownKeys() {
        for (String key : List.copyOf(result.keys())) {
            if (!KNOWN_KEYS.contains(key)) {
                result.remove(key);
                report.addOmission(key, "not known to this program");
            }
        }
    }

    /** Drops the known endpoints, whose zones belong to the old deployment. */
    private void dropKnownEndpoints() {
        result.remove("known");
        if (source.knownWorkers() != null) {
            report.addOmission("known, " + source.knownWorkers() + " workers",
                    "they belong to the old deployment");
        }
    }

    private void migrateLoadReports(JsonObject settings) {
        JsonObject load = settings.getOrAddObject("LoadInfo");
        set(load, "How", target.reports().spelling());
        if (target.reports() != TargetDeployment.LoadReports.OFF) {
            return;
        }
        if (!source.loadNames().isEmpty()) {
            report.addOmission(load.path("Names") + " " + source.loadNames(),
                    "workers report no load there");
        }
        load.set("Names", new ArrayList<>());
        if (LIVE_WEIGHTS.equals(source.weightSource())) {
            report.addOmission(settings.path("WeightSource") + " " + LIVE_WEIGHTS,
                    "endpoint lists there contain no live weights");
            set(settings, "WeightSource", NOMINAL_WEIGHTS);
        }
        if (!source.tellsStart()) {
            report.addReview("settings.FamilyInfo.TellsStart is not true",
                    "without load reports and start notes, a dispatcher knows of each worker only its own"
                            + " tasks");
        }
    }

    private void migrateEndpointList(JsonObject settings) {
        set(settings, "Discovery", target.list().spelling());
        JsonObject rules = settings.getOrAddObject("Rules");
        if (target.askWithinMs() != null) {
            set(rules, "AskWithinMs", target.askWithinMs());
            return;
        }
        boolean isStated = source.askWithinMs() != null && source.askWithinMs().signum() > 0;
        if (target.list() == TargetDeployment.ListDelivery.ON_REQUEST && !isStated) {
            String path = rules.path("AskWithinMs");
            throw ConfigurationException.ofKey(path,
                    path + " is missing, and the list is polled there:"
                            + " set ask_within_ms in the shape file");
        }
    }

    private void migrateZones(JsonObject settings) {
        List<String> zones = target.zones();
        set(settings, "Zones", zones);
        set(settings, "Zone", BigDecimal.valueOf(zones.indexOf(target.zone())));
        BigDecimal cost = source.crossZoneCost();
        if (cost != null && cost.signum() > 0) {
            report.addReview("settings.Costs.CrossZone " + cost,
                    "the same cost applies between any two of " + zones.size() + " zones");
        }
    }

    /** Adapts the pool settings. A dispatcher that serves one client process has no number in a pool. */
    private void migrateDispatcherPool(JsonObject settings) {
        settings.remove("Me");
        if (source.dispatcherNumber() != null) {
            report.addOmission(settings.path("Me") + " " + source.dispatcherNumber(),
                    "there is no pool of dispatchers there");
        }
        set(settings, "PeersTotal", target.dispatchers());
        if (source.retryFloor() != null) {
            report.addReview("settings.Rules.ExtraFloor " + source.retryFloor(),
                    "each dispatcher is allowed this many further assignments per span,"
                            + " and the number of dispatchers differs");
        }
    }

    private void reviewTrafficTypes() {
        for (SourceDeployment.TrafficTypeRow type : source.trafficTypes()) {
            if (type.isDeduplicatedPartially()) {
                report.addReview("settings.TrafficTypes " + type.name(),
                        "its repeats are dropped within one " + type.dedupScope()
                                + "; check that workers there do so before serving this type");
            }
        }
    }

    private void reviewTenants() {
        if (source.hasTenants()) {
            report.addReview("settings.Tenants",
                    "QuotaPerS applies to all dispatchers together, and their number differs");
        }
    }

    /** Sets a value unless it is null, and reports it if it differs from the old value. */
    private void set(JsonObject object, String key, Object value) {
        if (value == null) {
            return;
        }
        Object previous = object.set(key, value);
        if (!isSameValue(previous, value)) {
            report.addChange(object.path(key), previous, value);
        }
    }

    /** Returns whether two values are equal; numbers may differ in trailing zeros. */
    private static boolean isSameValue(Object one, Object other) {
        if (one instanceof BigDecimal number && other instanceof BigDecimal otherNumber) {
            return number.compareTo(otherNumber) == 0;
        }
        return Objects.equals(one, other);
    }
}
