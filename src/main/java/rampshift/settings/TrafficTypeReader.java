package rampshift.settings;

import java.util.Set;
import rampshift.policy.TrafficType;
import rampshift.time.Span;

/** Reads the rows of the setting {@code TrafficTypes}. */
final class TrafficTypeReader {
    private static final int ANY_KIND = -1;

    private final SettingsObject family;
    private final int zoneCount;
    private final int kindCount;

    /** Creates the reader; a count is 0 if the settings have no list of zones or kinds. */
    TrafficTypeReader(SettingsObject family, int zoneCount, int kindCount) {
        this.family = family;
        this.zoneCount = zoneCount;
        this.kindCount = kindCount;
    }

    TrafficType read(int index, Object value) {
        SettingsObject row = SettingsObject.of("TrafficTypes", value);
        Set<Integer> kinds = kinds(index, row);
        double latencySlackFactor = row.number("AimStretch", family.element("ClassStretch", index, 0));
        double priorityWeight = row.number("Earnings", 1);
        double lateValueShare = row.number("TardyEarnings", 0);
        Span latencyObjective = Span.ofMillis(row.requiredNumber("DueTimeMs"));
        Span timeout = Span.ofMillis(row.requiredNumber("ExpiryMs"));
        Span deduplicationWindow = row.span("WindowMs", 0);
        Set<Integer> zones = row.indexes("RunsIn", zoneCount);
        return new TrafficType(priorityWeight, lateValueShare, latencyObjective, latencySlackFactor, timeout,
                effect(row),
                deduplicationScope(row), deduplicationWindow, zones, kinds);
    }

    /** Returns the kinds of workers that may run the type; null for any. */
    private Set<Integer> kinds(int index, SettingsObject row) {
        Set<Integer> allowed = row.indexes("AllowedOn", kindCount);
        int only = (int) family.element("ClassKind", index, ANY_KIND);
        if (only < 0) {
            return allowed;
        }
        if (allowed != null && !allowed.contains(only)) {
            throw ConfigurationException.ofKey("TrafficTypes.AllowedOn",
                    "setting TrafficTypes.AllowedOn lacks the kind " + only + " that ClassKind requires");
        }
        return Set.of(only);
    }

    private static TrafficType.Effect effect(SettingsObject row) {
        if (row.is("Effect", "safe")) {
            return TrafficType.Effect.IDEMPOTENT;
        }
        return row.is("Effect", "keyed") ? TrafficType.Effect.KEYED
                : TrafficType.Effect.NON_IDEMPOTENT;
    }

    private static TrafficType.DeduplicationScope deduplicationScope(SettingsObject row) {
        if (row.is("DedupScope", "all")) {
            return TrafficType.DeduplicationScope.ALL;
        }
        return row.is("DedupScope", "zone") ? TrafficType.DeduplicationScope.ZONE
                : TrafficType.DeduplicationScope.CELL;
    }
}
