package rampshift.settings;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import rampshift.policy.Settings;
import rampshift.policy.TrafficType;
import rampshift.time.Span;

/** Reads the settings of an instance; unknown ones are ignored, absent ones keep the wire's meaning. */
public final class SettingsReader {
    private final Map<String, Object> root;

    public SettingsReader(JsonParser in) throws IOException {
        root = JsonTree.object(in, JsonParser::getDoubleValue);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof SettingsReader reader && root.equals(reader.root);
    }

    @Override
    public int hashCode() {
        return root.hashCode();
    }

    public Settings read(long seed) {
        Settings s = new Settings();
        s.seed = seed;
        Map<String, Object> limits = part("Limits");
        Map<String, Object> rules = part("Rules");
        Map<String, Object> costs = part("Costs");
        Map<String, Object> family = part("FamilyInfo");
        Map<String, Object> load = part("LoadInfo");
        s.zone = (int) number(root, "Zone", 0);
        int zones = list(root, "Zones").size();
        if (s.zone < 0 || zones > 0 && s.zone >= zones) {
            throw new InvalidInputException("setting Zone is " + s.zone + ", and Zones has " + zones);
        }
        s.tick = span(root, "GranularityMs", 1);
        s.mostAssignments = (int) need(limits, "Limits", "MostAssignments");
        s.mayProbe = flag(limits, "MayProbe");
        s.mayCancel = flag(limits, "Cancel");
        s.secondCopies = flag(limits, "SecondCopies");
        s.comeBackAdvice = flag(limits, "RetryAfter");
        s.longestComeBack = span(limits, "MaxRetryAfterMs", 0);
        s.listOnRequest = "on_request".equals(root.get("Discovery"));
        s.liveWeights = "live".equals(root.get("WeightSource"));
        s.tellsStart = flag(family, "TellsStart");
        s.progressEvery = span(family, "ProgressMs", 0);
        s.reportsLoad = reports(load.get("How"));
        s.earningsByWork = "work".equals(root.get("EarningsBy"));
        s.excessEarnings = number(root, "ExcessEarnings", 1);
        s.crossingPrice = number(costs, "CrossZone", 0);
        s.wastePrice = number(costs, "Waste", 0);
        s.handshakePrice = number(costs, "Handshake", 0);
        s.connectionIdle = span(limits, "ConnIdleMs", 0);
        s.askWithin = span(rules, "AskWithinMs", 0);
        s.drainGrace = span(rules, "StopSendingWithinMs", 0);
        s.onlyDrainingBinds = strictFlag(rules, "Rules", "OnlyDrainingBinds");
        if (rules.get("ExtraFloor") != null || rules.get("RepeatRatio") != null) {
            s.budgetFloor = atLeast(0, rules, "Rules", "ExtraFloor", 0);
            s.budgetShare = atLeast(0, rules, "Rules", "RepeatRatio", 0);
            s.budgetSpan = Span.ofMillis(atLeast(1, rules, "Rules", "RatioSpanMs", 0));
        }
        tail(s, part("Goal"));
        s.coldFrom = number(rules, "ColdFrom", 1);
        s.coldFor = span(rules, "ColdMs", 0);
        s.tipMultiple = number(rules, "TipMultiple", 1);
        List<Object> types = list(root, "TrafficTypes");
        if (types.isEmpty()) {
            throw new InvalidInputException("the settings lack TrafficTypes");
        }
        int kinds = list(root, "Kinds").size();
        for (int i = 0; i < types.size(); i++) {
            Map<String, Object> row = map(types.get(i), "TrafficTypes");
            Set<Integer> on = places(row, "AllowedOn", kinds);
            int only = (int) at(family, "ClassKind", i, -1);
            if (only >= 0) {
                if (on != null && !on.contains(only)) {
                    throw new InvalidInputException("setting TrafficTypes.AllowedOn lacks the kind " + only
                            + " that ClassKind names");
                }
                on = Set.of(only);
            }
            double stretch = number(row, "AimStretch", at(family, "ClassStretch", i, 0));
            s.types.add(new TrafficType(number(row, "Earnings", 1), number(row, "TardyEarnings", 0),
                    Span.ofMillis(need(row, "TrafficTypes", "DueTimeMs")), stretch,
                    Span.ofMillis(need(row, "TrafficTypes", "ExpiryMs")), effect(row), group(row),
                    span(row, "WindowMs", 0), places(row, "RunsIn", zones), on));
        }
        for (Object tenant : list(root, "Tenants")) {
            s.tenantQuotas.add(number(map(tenant, "Tenants"), "QuotaPerS", 0));
        }
        return s;
    }

    /**
     * Places in one of the settings' lists, which has so many (0: not told); null where nothing is stated.
     */
    private static Set<Integer> places(Map<String, Object> row, String name, int most) {
        if (row.get(name) == null) {
            return null;
        }
        Set<Integer> places = new TreeSet<>();
        for (Object value : list(row, name)) {
            if (!(value instanceof Number n) || n.doubleValue() != n.intValue() || n.intValue() < 0
                    || most > 0 && n.intValue() >= most) {
                throw new InvalidInputException(
                        "setting TrafficTypes." + name + " holds " + value + ", expected places from 0"
                                + (most > 0 ? " to " + (most - 1) : ""));
            }
            places.add(n.intValue());
        }
        if (places.isEmpty()) {
            throw new InvalidInputException(
                    "setting TrafficTypes." + name + " is empty: the type could run nowhere");
        }
        return places;
    }

    private static void tail(Settings s, Map<String, Object> goal) {
        double kept = atLeast(0, goal, "Goal", "KeptPromises", 0);
        if (kept > 0) {
            double all = kept;
            for (String part : List.of("Whole", "WorstWindow", "WorstClass", "WorstTenant")) {
                all += number(goal, part, 0);
            }
            s.tailWeight = kept / all;
            s.tailBorne = atLeast(0, goal, "Goal", "BorneMisses", 0);
        }
    }

    /** What only a host on sockets needs. */
    public HostSettings platform() {
        Map<String, Object> limits = part("Limits");
        return new HostSettings(names("Zones", false), names("Kinds", false), names("TrafficTypes", true),
                names("Tenants", true),
                span(limits, "DialTimeoutMs", 100), span(limits, "ConnIdleMs", 10_000),
                (int) Math.max(1, Math.min(Integer.MAX_VALUE, number(limits, "OpenCap", Integer.MAX_VALUE))),
                reportOf("free slots"), reportOf("free memory"));
    }

    private List<String> names(String list, boolean rows) {
        List<String> names = new ArrayList<>();
        for (Object entry : list(root, list)) {
            names.add(String.valueOf(rows ? map(entry, list).get("Name") : entry));
        }
        return names;
    }

    /** The name of the report value with this meaning, or null where there is none. */
    public String reportOf(String meaning) {
        Map<String, Object> family = part("FamilyInfo");
        if (meaning.equals(family.get("ReportX0"))) {
            return "x0";
        }
        return meaning.equals(family.get("ReportX1")) ? "x1" : null;
    }

    /** Whether workers report load at all; where nothing is said they do. */
    private static boolean reports(Object how) {
        if (how != null && !Set.of("inline", "on_probe", "off").contains(how)) {
            throw new InvalidInputException(
                    "setting LoadInfo.How is " + how + ", not inline, on_probe or off");
        }
        return !"off".equals(how);
    }

    private static TrafficType.Effect effect(Map<String, Object> row) {
        Object effect = row.get("Effect");
        if ("safe".equals(effect)) {
            return TrafficType.Effect.IDEMPOTENT;
        }
        return "keyed".equals(effect) ? TrafficType.Effect.FINGERPRINTED : TrafficType.Effect.SIDE_EFFECTING;
    }

    private static TrafficType.Group group(Map<String, Object> row) {
        Object group = row.get("DedupScope");
        if ("all".equals(group)) {
            return TrafficType.Group.ALL;
        }
        return "zone".equals(group) ? TrafficType.Group.ZONE : TrafficType.Group.CELL;
    }

    private Map<String, Object> part(String name) {
        Object part = root.get(name);
        return part == null ? Map.of() : map(part, name);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> map(Object value, String name) {
        if (value instanceof Map) {
            return (Map<String, Object>) value;
        }
        throw new InvalidInputException("setting " + name + " is not an object");
    }

    @SuppressWarnings("unchecked")
    private static List<Object> list(Map<String, Object> from, String name) {
        Object value = from.get(name);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List) {
            return (List<Object>) value;
        }
        throw new InvalidInputException("setting " + name + " is not an array");
    }

    private static double at(Map<String, Object> from, String name, int place, double ifAbsent) {
        List<Object> values = list(from, name);
        return place < values.size() && values.get(place) instanceof Number n ? n.doubleValue() : ifAbsent;
    }

    private static double need(Map<String, Object> from, String where, String name) {
        if (from.get(name) == null) {
            throw new InvalidInputException("the settings lack " + where + "." + name);
        }
        return number(from, name, 0);
    }

    private static double number(Map<String, Object> from, String name, double ifAbsent) {
        Object value = from.get(name);
        if (value == null) {
            return ifAbsent;
        }
        if (value instanceof Number n) {
            return n.doubleValue();
        }
        throw new InvalidInputException("setting " + name + " is not a number");
    }

    private static double atLeast(double least, Map<String, Object> from, String where, String name,
            double ifAbsent) {
        double value = number(from, name, ifAbsent);
        if (!(value >= least)) {
            throw new InvalidInputException("setting " + where + "." + name
                    + (from.get(name) == null ? " is missing" : " is " + value) + ", expected " + least
                    + " or more");
        }
        return value;
    }

    private static boolean strictFlag(Map<String, Object> from, String where, String name) {
        Object value = from.get(name);
        if (value != null && !(value instanceof Boolean)) {
            throw new InvalidInputException(
                    "setting " + where + "." + name + " is " + value + ", expected true or false");
        }
        return Boolean.TRUE.equals(value);
    }

    private static Span span(Map<String, Object> from, String name, double ifAbsent) {
        return Span.ofMillis(number(from, name, ifAbsent));
    }

    private static boolean flag(Map<String, Object> from, String name) {
        return Boolean.TRUE.equals(from.get(name));
    }
}
