package rampshift.testbed.plan;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import rampshift.time.Span;
import rampshift.toml.TomlFile;
import rampshift.toml.TomlTable;

/** Reads fleet files. All faults of a file are reported at once, each with its line and what was expected. */
public final class FleetPlanReader {
    private FleetPlanReader() {}

    /**
     * Reads a file.
     *
     * @throws rampshift.settings.ConfigurationException if it can't be read or is not a valid fleet file
     */
    public static FleetPlan read(Path file) {
        return read(file, null);
    }

    /**
     * Reads a file with the values of one of its arms.
     *
     * @param armName the name of the arm; null for none
     * @throws rampshift.settings.ConfigurationException if it can't be read or is not a valid fleet file
     */
    public static FleetPlan read(Path file, String armName) {
        return read(file.toString(), TomlFile.text(file), armName);
    }

    /**
     * Reads the text of a file with the values of one of its arms.
     *
     * @param name the name of the file in messages
     * @param armName the name of the arm; null for none
     * @throws rampshift.settings.ConfigurationException if it is not a valid fleet file
     */
    public static FleetPlan read(String name, String text, String armName) {
        TomlFile file = TomlFile.read(name, text);
        TomlTable.Source source = file.source();
        JsonNode root = file.root();
        if (armName != null) {
            new ArmOverrides(source, root).apply(armName);
        }
        FleetPlan plan = plan(source, new TomlTable(source, root, ""));
        file.throwIfFaulty();
        return plan;
    }

    private static FleetPlan plan(TomlTable.Source source, TomlTable top) {
        List<FleetPlan.Machine> machines = WorkerSections.machines(top);
        List<FleetPlan.Site> sites = WorkerSections.sites(top, machines);
        List<FleetPlan.TrafficType> types = LoadSections.types(top);
        require(source, sites, "site", "at least one site, as [[site]]");
        require(source, machines, "machine", "at least one machine, as [[machine]]");
        require(source, types, "type", "at least one traffic type, as [[type]]");
        FleetPlan plan = new FleetPlan(top.span("length", Span.ofMillis(20_000)),
                top.integer("seed", 0, Integer.MAX_VALUE, 1),
                sites,
                machines,
                types,
                LoadSections.arrivals(top.table("arrivals"), sites),
                LoadSections.clients(top.table("clients")),
                WorkerSections.workers(top.table("workers")),
                WorkerSections.slowStart(top.table("cold")),
                WorkerSections.reports(top.table("reports")),
                DispatcherSections.discovery(top.table("roster")),
                DispatcherSections.network(top.table("network")),
                DispatcherSections.dispatchers(top.table("dispatchers")),
                DispatcherSections.members(top.table("members"), top.has("members")),
                DispatcherSections.leases(top, types),
                FaultSections.faults(top, sites),
                ExperimentSections.trials(top.table("experiment")),
                ExperimentSections.ladder(top.table("ladder")),
                ExperimentSections.arms(top));
        if (!plan.length().longerThan(plan.clients().warmUp())) {
            top.fault("length", "must be longer than clients.warm_up");
        }
        top.rejectUnknownKeys();
        return plan;
    }

    private static void require(TomlTable.Source source, List<?> elements, String key, String expected) {
        if (elements.isEmpty()) {
            source.fault(key, "the file lacks " + expected);
        }
    }
}
