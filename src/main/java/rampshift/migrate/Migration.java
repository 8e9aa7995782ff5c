package rampshift.migrate;

import java.math.BigDecimal;
import java.util.ArrayList;
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
            Set.of("name", "listen", "discovery", "seed", "limits", "known", "settings");
    private static final String LIVE_WEIGHTS = "live";
    private static final String NOMINAL_WEIGHTS = "nominal";

    private final SourceDeployment source;
    private final TargetDeployment target;
    private final MigrationReport report = new MigrationReport();
    private final JsonObject result;

    /**
     * Migrates a configuration that has been read without a fault. Throws a {@link ConfigurationException}
     * where neither it nor the target tells what the new one must hold.
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
        set(settings.objectOrAdded("Limits"), "MayProbe", target.probes());
        migrateDispatcherPool(settings);
        reviewTrafficTypes();
        reviewTenants();
    }

    /** The new configuration, as {@link rampshift.settings.JsonTree} writes it. */
    Map<String, Object> result() {
        return result.tree();
    }

    /** What was changed, what was left out, and what is to be reviewed. */
    MigrationReport report() {
        return report;
    }

    private void dropUnknownKeys() {
        for (String key : List.copyOf(result.keys())) {
            if (!KNOWN_KEYS.contains(key)) {
                result.remove(key);
                report.notCarriedOver(key, "not known to this program");
            }
        }
    }

    /** Its workers are numbered by the old deployment's zones. */
    private void dropKnownEndpoints() {
        result.remove("known");
        if (source.knownWorkers() != null) {
            report.notCarriedOver("known, " + source.knownWorkers() + " workers",
                    "they are of the old house");
        }
    }

    private void migrateLoadReports(JsonObject settings) {
        JsonObject load = settings.objectOrAdded("LoadInfo");
        set(load, "How", target.reports().word());
        if (target.reports() != TargetDeployment.LoadReports.OFF) {
            return;
        }
        if (!source.loadNames().isEmpty()) {
            report.notCarriedOver(load.path("Names") + " " + source.loadNames(),
                    "workers report no load there");
        }
        load.set("Names", new ArrayList<>());
        if (LIVE_WEIGHTS.equals(source.weightSource())) {
            report.notCarriedOver(settings.path("WeightSource") + " " + LIVE_WEIGHTS,
                    "weights that tell load are not listed there");
            set(settings, "WeightSource", NOMINAL_WEIGHTS);
        }
        if (!source.tellsStart()) {
            report.toReview("settings.FamilyInfo.TellsStart is not true",
                    "with neither reports nor start notes a dispatcher knows nothing of a worker but its own"
                            + " tasks");
        }
    }

    private void migrateEndpointList(JsonObject settings) {
        set(settings, "Discovery", target.list().word());
        JsonObject rules = settings.objectOrAdded("Rules");
        if (target.askWithinMs() != null) {
            set(rules, "AskWithinMs", target.askWithinMs());
            return;
        }
        boolean isStated = source.askWithinMs() != null && source.askWithinMs().signum() > 0;
        if (target.list() == TargetDeployment.ListDelivery.ON_REQUEST && !isStated) {
            String path = rules.path("AskWithinMs");
            throw ConfigurationException.ofKey(path,
                    path + " is missing, and the list must be asked for there:"
                            + " the shape's ask_within_ms has to tell");
        }
    }

    private void migrateZones(JsonObject settings) {
        List<String> zones = target.zones();
        set(settings, "Zones", zones);
        set(settings, "Zone", BigDecimal.valueOf(zones.indexOf(target.zone())));
        BigDecimal cost = source.crossZoneCost();
        if (cost != null && cost.signum() > 0) {
            report.toReview("settings.Costs.CrossZone " + cost,
                    "one price between any two of " + zones.size() + " zones");
        }
    }

    /** The number in a pool of dispatchers means nothing to one that serves a single client process. */
    private void migrateDispatcherPool(JsonObject settings) {
        settings.remove("Me");
        if (source.dispatcherNumber() != null) {
            report.notCarriedOver(settings.path("Me") + " " + source.dispatcherNumber(),
                    "there is no pool of dispatchers there");
        }
        set(settings, "PeersTotal", target.dispatchers());
        if (source.retryFloor() != null) {
            report.toReview("settings.Rules.ExtraFloor " + source.retryFloor(),
                    "each dispatcher has so many further assignments in a span,"
                            + " and their number is another");
        }
    }

    private void reviewTrafficTypes() {
        for (SourceDeployment.TrafficTypeRow type : source.trafficTypes()) {
            if (type.isRepeatDroppedInPart()) {
                report.toReview("settings.TrafficTypes " + type.name(),
                        "its repeats are dropped within one " + type.dedupScope()
                                + "; make sure that workers do so there before it is served");
            }
        }
    }

    private void reviewTenants() {
        if (source.hasTenants()) {
            report.toReview("settings.Tenants",
                    "QuotaPerS counts all dispatchers together, and the fleet is another");
        }
    }

    /** Sets a value unless it is null; reports it where the old one was another. */
    private void set(JsonObject object, String key, Object value) {
        if (value == null) {
            return;
        }
        Object previous = object.set(key, value);
        if (!isSameValue(previous, value)) {
            report.changed(object.path(key), previous, value);
        }
    }

    /** Numbers are the same where they differ in trailing zeros alone. */
    private static boolean isSameValue(Object one, Object other) {
        if (one instanceof BigDecimal number && other instanceof BigDecimal otherNumber) {
            return number.compareTo(otherNumber) == 0;
        }
        return Objects.equals(one, other);
    }
}
