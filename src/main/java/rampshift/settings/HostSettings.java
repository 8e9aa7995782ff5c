package rampshift.settings;

import java.util.List;
import rampshift.time.Span;

/**
 * What a host on sockets needs of the settings, beside what the dispatch policy reads.
 *
 * @param zones names of the zones, in the order in which they are numbered
 * @param kinds names of the kinds of workers, in that order
 * @param types names of the traffic types, in that order
 * @param tenants names of the tenants, in that order
 * @param dialTimeout how long opening a connection to a worker may take
 * @param connectionIdleTimeout after which idle time a connection to a worker is closed
 * @param maxConnections how many connections to workers may be open at once, 1 or more
 * @param freeSlotsField the field of a load report that holds the free slots; null where there is none
 * @param freeMemoryField the field of a load report that holds the free memory; null where there is none
 */
public record HostSettings(
        List<String> zones,
        List<String> kinds,
        List<String> types,
        List<String> tenants,
        Span dialTimeout,
        Span connectionIdleTimeout,
        int maxConnections,
        String freeSlotsField,
        String freeMemoryField) {
}
