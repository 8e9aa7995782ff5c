package rampshift.settings;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import rampshift.policy.Settings;
import rampshift.time.Span;

/**
 * Reads the settings of one dispatcher, both for the dispatch policy and for a host on sockets. Unknown
 * settings are ignored, and absent ones have the defaults of the wire format.
 */
public final class SettingsReader {
    private static final Set<String> LOAD_REPORTING_MODES = Set.of("inline", "on_probe", "off");
    private static final double DEFAULT_DIAL_TIMEOUT_MS = 100;
    private static final double DEFAULT_CONNECTION_IDLE_MS = 10_000;

    private final SettingsObject root;

    /** Reads the rest of the JSON object at the parser's position. */
    public SettingsReader(JsonParser in) throws IOException {
        root = new SettingsObject("", JsonTree.object(in, JsonParser::getDoubleValue));
    }

    /** Returns whether both readers have the same settings. */
    @Override
    public boolean equals(Object other) {
        return other instanceof SettingsReader reader && root.equals(reader.root);
    }

    @Override
    public int hashCode() {
        return root.hashCode();
    }

    /**
     * Returns the settings of the dispatch policy. Throws a {@link ConfigurationException} for the first
     * invalid value, in the order of reading.
     */
    public Settings read(long seed) {
        SettingsObject limits = root.object("Limits");
        SettingsObject rules = root.object("Rules");
        SettingsObject costs = root.object("Costs");
        SettingsObject family = root.object("FamilyInfo");
        SettingsObject load = root.object("LoadInfo");
        Settings settings = new Settings();
        settings.seed = seed;
        settings.zone = zone();
        settings.tick = root.span("GranularityMs", 1);
        readLimits(settings, limits);
        readDiscovery(settings);
        readFamily(settings, family, load);
        readCosts(settings, costs);
        settings.connectionIdleTimeout = limits.span("ConnIdleMs", 0);
        readRules(settings, rules);
        readGoal(settings, root.object("Goal"));
        readSlowStart(settings, rules);
        readTrafficTypes(settings, family);
        for (Object tenant : root.list("Tenants")) {
            settings.tenantQuotas.add(SettingsObject.of("Tenants", tenant).number("QuotaPerS", 0));
        }
        return settings;
    }

    private int zone() {
        int zone = (int) root.number("Zone", 0);
        int count = root.list("Zones").size();
        if (zone < 0 || (count > 0 && zone >= count)) {
            throw ConfigurationException.ofKey("Zone",
                    "setting Zone is " + zone + ", but the size of Zones is " + count);
        }
        return zone;
    }

    private static void readLimits(Settings settings, SettingsObject limits) {
        settings.maxAttempts = (int) limits.requiredNumber("MostAssignments");
        settings.mayProbe = limits.flag("MayProbe");
        settings.mayCancel = limits.flag("Cancel");
        settings.mayHedge = limits.flag("SecondCopies");
        settings.retryAfterHints = limits.flag("RetryAfter");
        settings.maxRetryAfter = limits.span("MaxRetryAfterMs", 0);
    }

    private void readDiscovery(Settings settings) {
        settings.endpointListOnRequest = root.is("Discovery", "on_request");
        settings.liveWeights = root.is("WeightSource", "live");
    }

    private static void readFamily(Settings settings, SettingsObject family, SettingsObject load) {
        settings.reportsStart = family.flag("TellsStart");
        settings.progressInterval = family.span("ProgressMs", 0);
        settings.reportsLoad = reportsLoad(load);
    }

    /** Returns whether workers report their load; true if the setting is absent. */
    private static boolean reportsLoad(SettingsObject load) {
        Object mode = load.get("How");
        if (mode != null && !LOAD_REPORTING_MODES.contains(mode)) {
            throw ConfigurationException.ofKey("LoadInfo.How",
                    "setting LoadInfo.How is " + mode + ", not inline, on_probe or off");
        }
        return !"off".equals(mode);
    }

    private void readCosts(Settings settings, SettingsObject costs) {
        settings.valueScalesWithWork = root.is("EarningsBy", "work");
        settings.overQuotaValueShare = root.number("ExcessEarnings", 1);
        settings.crossZoneCost = costs.number("CrossZone", 0);
        settings.wastedWorkCost = costs.number("Waste", 0);
        settings.handshakeCost = costs.number("Handshake", 0);
    }

    private static void readRules(Settings settings, SettingsObject rules) {
        settings.maxSubscribeDelay = rules.span("AskWithinMs", 0);
        settings.drainGrace = rules.span("StopSendingWithinMs", 0);
        settings.removalIsAdvisory = rules.strictFlag("OnlyDrainingBinds");
        if (rules.has("ExtraFloor") || rules.has("RepeatRatio")) {
            settings.retryBudgetMinimum = rules.numberOfAtLeast(0, "ExtraFloor");
            settings.retryBudgetRatio = rules.numberOfAtLeast(0, "RepeatRatio");
            settings.retryBudgetWindow = Span.ofMillis(rules.numberOfAtLeast(1, "RatioSpanMs"));
        }
    }

    private static void readGoal(Settings settings, SettingsObject goal) {
        double lateShareGoalWeight = goal.numberOfAtLeast(0, "KeptPromises");
        if (lateShareGoalWeight > 0) {
            double totalWeight = lateShareGoalWeight;
            for (String part : List.of("Whole", "WorstWindow", "WorstClass", "WorstTenant")) {
                totalWeight += goal.number(part, 0);
            }
            settings.lateShareWeight = lateShareGoalWeight / totalWeight;
            settings.toleratedLateShare = goal.numberOfAtLeast(0, "BorneMisses");
        }
    }

    private static void readSlowStart(Settings settings, SettingsObject rules) {
        settings.slowStartInitialShare = rules.number("ColdFrom", 1);
        settings.slowStartDuration = rules.span("ColdMs", 0);
        settings.slowStartMaxLoadMultiple = rules.number("TipMultiple", 1);
    }

    private void readTrafficTypes(Settings settings, SettingsObject family) {
        List<Object> rows = root.list("TrafficTypes");
        if (rows.isEmpty()) {
            throw ConfigurationException.ofKey("TrafficTypes", "the settings lack TrafficTypes");
        }
        TrafficTypeReader reader = new TrafficTypeReader(family, root.list("Zones").size(),
                root.list("Kinds").size());
        for (int index = 0; index < rows.size(); index++) {
            settings.types.add(reader.read(index, rows.get(index)));
        }
    }

    /** Returns the settings that only a host on sockets needs. */
    public HostSettings hostSettings() {
        SettingsObject limits = root.object("Limits");
        return new HostSettings(names("Zones"), names("Kinds"), rowNames("TrafficTypes"), rowNames("Tenants"),
                limits.span("DialTimeoutMs", DEFAULT_DIAL_TIMEOUT_MS),
                limits.span("ConnIdleMs", DEFAULT_CONNECTION_IDLE_MS),
                maxConnections(limits), reportField("free slots"), reportField("free memory"));
    }

    private static int maxConnections(SettingsObject limits) {
        return (int) Math.max(1, Math.min(Integer.MAX_VALUE, limits.number("OpenCap", Integer.MAX_VALUE)));
    }

    private List<String> names(String key) {
        List<String> names = new ArrayList<>();
        for (Object name : root.list(key)) {
            names.add(String.valueOf(name));
        }
        return names;
    }

    private List<String> rowNames(String key) {
        List<String> names = new ArrayList<>();
        for (Object row : root.list(key)) {
            names.add(String.valueOf(SettingsObject.of(key, row).get("Name")));
        }
        return names;
    }

    /**
     * Returns the field of a load report that has this meaning, such as "free slots"; null if there is none.
     */
    public String reportField(String meaning) {
        SettingsObject family = root.object("FamilyInfo");
        if (family.is("ReportX0", meaning)) {
            return "x0";
        }
        return family.is("ReportX1", meaning) ? "x1" : null;
    }
}
