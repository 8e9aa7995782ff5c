package rampshift.settings;

import java.util.List;
import rampshift.time.Span;

/** What a host on sockets needs of the settings, beside what the decision module reads. */
public record HostSettings(
        List<String> zones,
        List<String> kinds,
        List<String> types,
        List<String> tenants,
        Span dialTimeout,
        Span connectionIdle,
        int mostOpen,
        String freeSlots,
        String freeMemory) {
}
