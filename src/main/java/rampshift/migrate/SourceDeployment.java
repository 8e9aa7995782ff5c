package rampshift.migrate;

import java.math.BigDecimal;
import java.util.List;

/**
 * What an old configuration tells of its deployment, as far as its counterpart depends on it.
 *
 * @param knownWorkers how many workers its endpoint list holds, or null where it has no list
 * @param loadNames the names under which workers report their load; none where they have no names
 * @param weightSource what the weights of listed workers tell, or null
 * @param tellsStart whether workers report the start of an attempt
 * @param askWithinMs how long a dispatcher may go without polling the list, in milliseconds, or null
 * @param crossZoneCost the cost of sending a task to another zone, or null
 * @param dispatcherNumber the dispatcher's number in its pool, or null
 * @param retryFloor how many further attempts each dispatcher has in a span, or null
 * @param trafficTypes the traffic types, in their order
 * @param hasTenants whether tasks are counted for tenants
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
     * @param dedupScope the workers that drop a repeat together: all, zone or cell
     */
    record TrafficTypeRow(String name, boolean isKeyed, String dedupScope) {

        private static final String KEYED = "keyed";
        private static final String ALL_WORKERS = "all";
        private static final String SCOPE_IF_ABSENT = "cell";

        private static TrafficTypeRow of(JsonObject row) {
            String scope = row.text("DedupScope");
            return new TrafficTypeRow(String.valueOf(row.printed("Name")), KEYED.equals(row.text("Effect")),
                    scope == null ? SCOPE_IF_ABSENT : scope);
        }

        /** A repeat of its tasks is harmless at some workers, and would run again at others. */
        boolean isRepeatDroppedInPart() {
            return isKeyed && !dedupScope.equals(ALL_WORKERS);
        }
    }

    /** Reads it from a configuration that the dispatcher accepts. */
    static SourceDeployment of(JsonObject configuration) {
        JsonObject settings = configuration.object("settings");
        JsonObject rules = settings.object("Rules");
        return new SourceDeployment(knownWorkers(configuration), loadNames(settings.object("LoadInfo")),
                settings.text("WeightSource"), settings.object("FamilyInfo").flag("TellsStart"),
                rules.number("AskWithinMs"), settings.object("Costs").number("CrossZone"),
                settings.printed("Me"), rules.printed("ExtraFloor"),
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
