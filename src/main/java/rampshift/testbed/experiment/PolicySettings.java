package rampshift.testbed.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import rampshift.testbed.plan.FleetPlan;

/** Derives the settings of the policy module from the plan's workers, traffic types and limits. */
final class PolicySettings {
    private static final double TIMER_GRANULARITY_MS = 1.0;
    private static final double CROSS_ZONE_COST = 0.1;
    private static final double WASTE_COST = 0.01;
    private static final double PROBE_COST = 0.01;
    private static final double DIAL_TIMEOUT_MS = 100.0;

    private final FleetPlan plan;

    PolicySettings(FleetPlan plan) {
        this.plan = plan;
    }

    /**
     * Returns the settings of one dispatcher.
     *
     * @param dispatcher the number of the dispatcher, from 0
     * @param site the number of its site, from 0
     */
    ObjectNode of(int dispatcher, int site) {
        ObjectNode settings = new ObjectMapper().createObjectNode();
        ArrayNode zones = settings.putArray("Zones");
        plan.sites().forEach(each -> zones.add(each.name()));
        ArrayNode kinds = settings.putArray("Kinds");
        plan.machines().forEach(machine -> kinds.add(machine.name()));
        settings.put("Zone", site).put("Me", dispatcher).put("PeersTotal", plan.dispatcherCount())
                .put("GranularityMs", TIMER_GRANULARITY_MS)
                .put("WeightSource", plan.discovery().liveWeights() ? "live" : "nominal");
        settings.putObject("Costs").put("CrossZone", CROSS_ZONE_COST).put("Waste", WASTE_COST).put("Probe",
                PROBE_COST);
        addReports(settings.putObject("FamilyInfo"), settings.putObject("LoadInfo"));
        addLimits(settings.putObject("Limits"));
        addRules(settings.putObject("Rules"));
        ArrayNode types = settings.putArray("TrafficTypes");
        plan.types().forEach(type -> addTrafficType(types.addObject(), type));
        return settings;
    }

    /** Adds what workers report about the start and progress of tasks, and about their load. */
    private void addReports(ObjectNode family, ObjectNode load) {
        FleetPlan.Reports reports = plan.reports();
        family.put("TellsStart", plan.workers().tellsStart()).put("ProgressMs",
                plan.workers().progress().millis());
        load.put("How", reports.how() == FleetPlan.Reports.How.PROBE ? "on_probe" : "inline");
        ArrayNode names = load.putArray("Names");
        if (reports.how() == FleetPlan.Reports.How.NONE) {
            return;
        }
        for (FleetPlan.Reports.Figure figure : reports.figures()) {
            names.add(reportField(figure));
            if (figure == FleetPlan.Reports.Figure.FREE_SLOTS) {
                family.put("ReportX0", "free slots");
            } else if (figure == FleetPlan.Reports.Figure.FREE_MEMORY) {
                family.put("ReportX1", "free memory");
            }
        }
    }

    private static String reportField(FleetPlan.Reports.Figure figure) {
        return switch (figure) {
            case FREE_SLOTS -> "x0";
            case FREE_MEMORY -> "x1";
            case WAITING -> "queue";
            case HELD -> "inflight";
        };
    }

    private void addLimits(ObjectNode limits) {
        FleetPlan.Dispatchers dispatchers = plan.dispatchers();
        limits.put("Cancel", plan.workers().stopsCancelledTasks()).put("SecondCopies", dispatchers.copies())
                .put("RetryAfter", true).put("MaxRetryAfterMs", dispatchers.maxRetryAfter().millis())
                .put("MayProbe", dispatchers.probes()).put("MostAssignments", dispatchers.maxAttempts())
                .put("DialTimeoutMs", DIAL_TIMEOUT_MS).put("ConnIdleMs", plan.workers().idle().millis());
    }

    private void addRules(ObjectNode rules) {
        FleetPlan.SlowStart cold = plan.slowStart();
        rules.put("ColdFrom", cold.from()).put("ColdMs", cold.warm().millis())
                .put("TipMultiple", cold.overloadFactor())
                .put("FallMs", cold.overloadWindow().millis())
                .put("StopSendingWithinMs", plan.discovery().grace().millis());
    }

    private static void addTrafficType(ObjectNode fields, FleetPlan.TrafficType type) {
        fields.put("Name", type.name()).put("DueTimeMs", type.due().millis())
                .put("AimStretch", type.stretch()).put("ExpiryMs", type.expiry().millis())
                .put("Earnings", type.earnings()).put("TardyEarnings", type.lateEarnings())
                .put("WindowMs", type.window().millis()).put("Effect", effect(type.effect()))
                .put("DedupScope", deduplicationScope(type.group()));
    }

    private static String effect(FleetPlan.TrafficType.Effect effect) {
        return switch (effect) {
            case IDEMPOTENT -> "safe";
            case FINGERPRINTED -> "keyed";
            case SIDE_EFFECTING -> "unsafe";
        };
    }

    private static String deduplicationScope(FleetPlan.TrafficType.Group group) {
        return switch (group) {
            case ALL -> "all";
            case SITE -> "zone";
            case CELL -> "cell";
        };
    }
}
