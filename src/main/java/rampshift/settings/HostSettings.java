package rampshift.settings;

import java.util.List;
import rampshift.time.Span;

/**
 * The settings that a host on sockets needs in addition to those of the dispatch policy.
 *
 * @param zones names of the zones, in the order in which they are numbered
 * @param kinds names of the kinds of workers, in that order
 * @param types names of the traffic types, in that order
 * @param tenants names of the tenants, in that order
 * @param dialTimeout how long opening a connection to a worker may take
 * @param connectionIdleTimeout the idle time after which workers close a connection; the dispatcher closes
 *     an idle connection earlier, after a share of this time
 * @param maxConnections maximum number of open connections to workers, at least 1
 * @param freeSlotsField the field of a load report that holds the free slots; null if there is none
 * @param freeMemoryField the field of a load report that holds the free memory; null if there is none
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
