package rampshift.migrate;

import java.math.BigDecimal;
import java.util.List;

/**
 * The properties of the old deployment that a migration depends on, read from its configuration.
 *
 * @param knownWorkers the number of workers in its endpoint list, or null if it has no list
 * @param loadNames the field names in load reports; empty if the configuration has none
 * @param weightSource the kind of weights in endpoint lists, or null
 * @param tellsStart whether workers report the start of an attempt
 * @param askWithinMs the maximum time between two polls of the list in milliseconds, or null
 * @param crossZoneCost the cost of sending a task to another zone, or null
 * @param dispatcherNumber the dispatcher's number in its pool, or null
 * @param retryFloor the minimum number of further attempts per dispatcher and span, or null
 * @param trafficTypes the traffic types, in their order
 * @param hasTenants whether the configuration has tenants
 */
record SourceDeployment(
        Integer knownWorkers,
        List<String> loadNames,
        String weightSource,
        boolean tellsStart,
        BigDecimal askWithinMs,
        BigDecimal crossZoneCost,
        String dispatcherNumber,
        String retryFloor,
        List<TrafficTypeRow> trafficTypes,
        boolean hasTenants) {

    /**
     * One traffic type.
     *
     * @param isKeyed whether its tasks have an idempotency key
     * @param dedupScope the group of workers that deduplicate tasks together: all, zone or cell
     */
    record TrafficTypeRow(String name, boolean isKeyed, String dedupScope) {

        private static final String KEYED = "keyed";
        private static final String ALL_WORKERS = "all";
        private static final String SCOPE_IF_ABSENT = "cell";

        private static TrafficTypeRow of(JsonObject row) {
            String scope = row.text("DedupScope");
            return new TrafficTypeRow(String.valueOf(row.toText("Name")), KEYED.equals(row.text("Effect")),
                    scope == null ? SCOPE_IF_ABSENT : scope);
        }

        /** Returns whether only some workers drop a repeated task, and the others would run it again. */
        boolean isDeduplicatedPartially() {
            return isKeyed && !dedupScope.equals(ALL_WORKERS);
        }
    }

    /** Reads the properties from a valid configuration. */
    static SourceDeployment of(JsonObject configuration) {
        JsonObject settings = configuration.object("settings");
        JsonObject rules = settings.object("Rules");
        return new SourceDeployment(knownWorkers(configuration), loadNames(settings.object("LoadInfo")),
                settings.text("WeightSource"), settings.object("FamilyInfo").flag("TellsStart"),
                rules.number("AskWithinMs"), settings.object("Costs").number("CrossZone"),
                settings.toText("Me"), rules.toText("ExtraFloor"),
                settings.objects("TrafficTypes").stream().map(TrafficTypeRow::of).toList(),
                !settings.elements("Tenants").isEmpty());
    }

    private static Integer knownWorkers(JsonObject configuration) {
        return configuration.hasObject("known") ? configuration.object("known").elements("targets").size()
                : null;
    }

    private static List<String> loadNames(JsonObject loadInfo) {
        return loadInfo.elements("Names").stream().map(String::valueOf).toList();
    }
}
