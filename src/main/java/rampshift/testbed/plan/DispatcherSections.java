package rampshift.testbed.plan;

import java.util.ArrayList;
import java.util.List;
import rampshift.time.Span;
import rampshift.toml.Range;
import rampshift.toml.TomlTable;

/** Reads the tables of a fleet file for dispatchers, their discovery agents and their network. */
final class DispatcherSections {
    /** The highest port of the first dispatcher; the other dispatchers use the following ports. */
    private static final int MAX_FIRST_PORT = 65_000;
    private static final int MAX_SOCKETS = 1_000_000;
    private static final int MAX_OBJECTS = 1_000_000;
    /** The default limits on the detection of failures and on agreement, in heartbeat periods. */
    private static final double DETECTION_PERIODS = 40;
    private static final double AGREEMENT_PERIODS = 60;

    private DispatcherSections() {}

    static FleetPlan.Discovery discovery(TomlTable table) {
        FleetPlan.Discovery discovery = new FleetPlan.Discovery(
                table.integer("port", 0, MAX_FIRST_PORT, 0),
                table.range("delay", Range.of(200, 1000)),
                table.flag("live_weights", false),
                table.span("refresh", Span.ofMillis(1000)),
                table.span("grace", Span.ofMillis(250)));
        table.rejectUnknownKeys();
        return discovery;
    }

    static FleetPlan.Network network(TomlTable table) {
        FleetPlan.Network network = new FleetPlan.Network(table.range("crossing", Range.of(0, 0)));
        table.rejectUnknownKeys();
        return network;
    }

    static FleetPlan.Dispatchers dispatchers(TomlTable table) {
        FleetPlan.Dispatchers dispatchers = new FleetPlan.Dispatchers(
                table.integer("port", 0, MAX_FIRST_PORT, 0),
                table.integer("memory_mb", 32, 65_536, 192),
                table.integer("sockets", 104, MAX_SOCKETS, 1024),
                table.text("cpus", ""),
                table.text("jar", ""),
                table.strings("java", List.of()),
                table.flag("probes", true),
                table.flag("copies", true),
                table.integer("most_assignments", 1, 20, 5),
                table.span("longest_return", Span.ofMillis(2000)),
                table.node("settings"));
        table.rejectUnknownKeys();
        return dispatchers;
    }

    /** Reads whether and how dispatchers know one another. By default they do if the table is present. */
    static FleetPlan.Members members(TomlTable table, boolean present) {
        Span period = table.span("period", Span.ofMillis(200));
        FleetPlan.Members members = new FleetPlan.Members(
                table.flag("on", present),
                period,
                table.span("forget", Span.ofMillis(86_400_000)),
                table.flag("news", true),
                table.span("known_by", period.times(DETECTION_PERIODS)),
                table.span("agree_by", period.times(AGREEMENT_PERIODS)));
        table.rejectUnknownKeys();
        return members;
    }

    static FleetPlan.Leases leases(TomlTable top, List<FleetPlan.TrafficType> types) {
        TomlTable table = top.table("leases");
        List<FleetPlan.PeriodicJob> periodicJobs = periodicJobs(top, types);
        FleetPlan.Leases leases = new FleetPlan.Leases(
                table.integer("keepers", 1, 7, 3),
                table.span("term", Span.ofMillis(2000)),
                table.number("drift", 0, 0.3, 0.01),
                table.flag("checked", true),
                periodicJobs);
        table.rejectUnknownKeys();
        return leases;
    }

    private static List<FleetPlan.PeriodicJob> periodicJobs(TomlTable top,
            List<FleetPlan.TrafficType> types) {
        List<FleetPlan.PeriodicJob> periodicJobs = new ArrayList<>();
        for (TomlTable table : top.tables("duty")) {
            FleetPlan.PeriodicJob job = new FleetPlan.PeriodicJob(
                    table.name("name"),
                    table.name("type"),
                    table.span("every", Span.ofMillis(5000)),
                    table.integer("objects", 1, MAX_OBJECTS, 10),
                    table.number("rate", 0.1, 10_000, 10));
            if (types.stream().noneMatch(type -> type.name().equals(job.type()))) {
                table.fault("type", "is \"" + job.type() + "\", but no [[type]] has that name");
            }
            table.rejectUnknownKeys();
            periodicJobs.add(job);
        }
        return periodicJobs;
    }
}
