package rampshift.testbed.plan;

import java.util.ArrayList;
import java.util.List;
import rampshift.time.Span;
import rampshift.toml.Range;
import rampshift.toml.TomlTable;

/** Reads the tables of a fleet file for tasks and the clients that send them. */
final class LoadSections {
    private static final int MAX_OBJECTS = 1_000_000;
    private static final int MAX_IDLE_CONNECTIONS = 1_000_000;
    private static final int MAX_IN_FLIGHT = 100_000;

    private LoadSections() {}

    static List<FleetPlan.TrafficType> types(TomlTable top) {
        List<FleetPlan.TrafficType> types = new ArrayList<>();
        for (TomlTable table : top.tables("type")) {
            types.add(type(table));
        }
        return types;
    }

    private static FleetPlan.TrafficType type(TomlTable table) {
        FleetPlan.TrafficType type = new FleetPlan.TrafficType(
                table.name("name"),
                table.number("share", 0, 1e6, 1),
                table.oneOf("effect", FleetPlan.TrafficType.Effect.class,
                        FleetPlan.TrafficType.Effect.IDEMPOTENT),
                table.oneOf("group", FleetPlan.TrafficType.Group.class, FleetPlan.TrafficType.Group.CELL),
                table.span("window", Span.ofMillis(5000)),
                table.span("work", Span.ofMillis(50)),
                table.oneOf("spread", FleetPlan.TrafficType.Spread.class, FleetPlan.TrafficType.Spread.FIXED),
                table.span("due", Span.ofMillis(200)),
                table.number("stretch", 0, 100, 2),
                table.span("expiry", Span.ofMillis(5000)),
                table.number("earnings", 0, 1e6, 1),
                table.number("late_earnings", 0, 1e6, 0),
                table.number("slots", 0.001, 1000, 1),
                table.number("memory", 0, 1e6, 0),
                table.integer("body", 0, 60_000, 100));
        if (type.expiry().micros() <= type.due().micros()) {
            table.fault("expiry", "must be longer than due");
        }
        table.rejectUnknownKeys();
        return type;
    }

    static FleetPlan.Arrivals arrivals(TomlTable table, List<FleetPlan.Site> sites) {
        List<FleetPlan.Burst> bursts = bursts(table, sites);
        FleetPlan.Arrivals arrivals = new FleetPlan.Arrivals(
                table.number("rate", 0, 1e6, 100),
                table.flag("even", false),
                table.integer("objects", 0, MAX_OBJECTS, 1000),
                bursts);
        table.rejectUnknownKeys();
        return arrivals;
    }

    private static List<FleetPlan.Burst> bursts(TomlTable arrivals, List<FleetPlan.Site> sites) {
        List<FleetPlan.Burst> bursts = new ArrayList<>();
        for (TomlTable table : arrivals.tables("burst")) {
            bursts.add(new FleetPlan.Burst(
                    table.span("at", Span.ZERO),
                    table.span("length", Span.ofMillis(1000)),
                    table.number("times", 0, 1000, 2),
                    SiteNames.read(table, sites)));
            table.rejectUnknownKeys();
        }
        return bursts;
    }

    static FleetPlan.Clients clients(TomlTable table) {
        FleetPlan.Clients clients = new FleetPlan.Clients(
                table.integer("processes", 1, 16, 1),
                table.integer("retries", 0, 20, 2),
                table.range("wait", Range.of(200, 400)),
                table.flag("honour_return", true),
                table.number("patience", 0.01, 1, 1),
                table.range("dead_front", Range.of(1000, 2000)),
                table.span("most_late", Span.ofMillis(5)),
                table.integer("idle", 0, MAX_IDLE_CONNECTIONS, 0),
                table.integer("in_hand", 0, MAX_IN_FLIGHT, 0),
                table.flag("keep", true),
                table.span("warm_up", Span.ZERO));
        table.rejectUnknownKeys();
        return clients;
    }
}
