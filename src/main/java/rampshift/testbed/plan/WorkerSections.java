package rampshift.testbed.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import rampshift.time.Span;
import rampshift.toml.TomlTable;

/** Reads the tables of a fleet file for sites, machines and workers. */
final class WorkerSections {
    private static final int MAX_WAITING = 1_000_000;
    private static final int MAX_CELL_SIZE = 1_000_000;
    /** The maximum number of dispatchers at one site. */
    private static final int MAX_DISPATCHERS = 1024;

    private WorkerSections() {}

    static List<FleetPlan.Machine> machines(TomlTable top) {
        List<FleetPlan.Machine> machines = new ArrayList<>();
        for (TomlTable table : top.tables("machine")) {
            machines.add(new FleetPlan.Machine(
                    table.name("name"),
                    table.integer("slots", 1, 10_000, 4),
                    table.number("speed", 0.001, 1000, 1),
                    table.integer("waiting", 0, MAX_WAITING, 64),
                    table.number("memory", 0, 1e9, 1e6)));
            table.rejectUnknownKeys();
        }
        return machines;
    }

    static List<FleetPlan.Site> sites(TomlTable top, List<FleetPlan.Machine> machines) {
        List<FleetPlan.Site> sites = new ArrayList<>();
        for (TomlTable table : top.tables("site")) {
            List<FleetPlan.WorkerGroup> workers = workerGroups(table, machines);
            sites.add(new FleetPlan.Site(
                    table.name("name"),
                    table.number("share", 0, 1e6, 1),
                    table.integer("dispatchers", 0, MAX_DISPATCHERS, 1),
                    workers));
            table.rejectUnknownKeys();
        }
        return sites;
    }

    private static List<FleetPlan.WorkerGroup> workerGroups(TomlTable site,
            List<FleetPlan.Machine> machines) {
        List<FleetPlan.WorkerGroup> groups = new ArrayList<>();
        for (TomlTable table : site.tables("workers")) {
            String machineName = table.name("machine");
            if (machines.stream().noneMatch(machine -> machine.name().equals(machineName))) {
                table.fault("machine", "is \"" + machineName + "\", but no [[machine]] has that name");
            }
            groups.add(new FleetPlan.WorkerGroup(machineName, table.integer("count", 1, 20_000, 1)));
            table.rejectUnknownKeys();
        }
        return groups;
    }

    static FleetPlan.Workers workers(TomlTable table) {
        FleetPlan.Workers workers = new FleetPlan.Workers(
                table.flag("tell_start", true),
                table.span("progress", Span.ofMillis(1000)),
                table.flag("stop_work", true),
                table.flag("in_order", true),
                table.span("idle", Span.ofMillis(60_000)),
                table.integer("cell", 1, MAX_CELL_SIZE, 2),
                table.span("connection_cost", Span.ZERO));
        table.rejectUnknownKeys();
        return workers;
    }

    static FleetPlan.SlowStart slowStart(TomlTable table) {
        FleetPlan.SlowStart slowStart = new FleetPlan.SlowStart(
                table.number("from", 0.01, 1, 0.12),
                table.span("warm", Span.ofMillis(8000)),
                table.number("tip", 1, 1000, 4),
                table.span("fall", Span.ofMillis(1500)));
        table.rejectUnknownKeys();
        return slowStart;
    }

    static FleetPlan.Reports reports(TomlTable table) {
        List<FleetPlan.Reports.Figure> figures = figures(table);
        FleetPlan.Reports reports = new FleetPlan.Reports(
                table.oneOf("how", FleetPlan.Reports.How.class, FleetPlan.Reports.How.INLINE),
                figures,
                table.span("refresh", Span.ofMillis(500)));
        table.rejectUnknownKeys();
        return reports;
    }

    private static List<FleetPlan.Reports.Figure> figures(TomlTable reports) {
        List<FleetPlan.Reports.Figure> figures = new ArrayList<>();
        for (String name : reports.strings("figures", List.of("free-slots", "waiting"))) {
            try {
                String constant = name.toUpperCase(Locale.ROOT).replace('-', '_');
                figures.add(FleetPlan.Reports.Figure.valueOf(constant));
            } catch (IllegalArgumentException e) {
                reports.fault("figures",
                        "holds \"" + name + "\", expected free-slots, waiting, held or free-memory");
            }
        }
        return figures;
    }
}
