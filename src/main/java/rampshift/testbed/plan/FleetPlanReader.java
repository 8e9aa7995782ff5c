package rampshift.testbed.plan;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import rampshift.time.Span;
import rampshift.toml.Range;
import rampshift.toml.TomlFile;
import rampshift.toml.TomlTable;

/** The one reader of fleet files. */
public final class FleetPlanReader {
    private static final int MOST = 1_000_000;
    private static final int MOST_DISPATCHERS = 1024;   // a site

    private FleetPlanReader() {}

    /** Reads a file, or throws a Fault that says in plain lines all that is wrong with it. */
    public static FleetPlan read(Path file) {
        return read(file, null);
    }

    /** Reads it as the arm of that name has it. */
    public static FleetPlan read(Path file, String arm) {
        return read(file.toString(), TomlFile.text(file), arm);
    }

    public static FleetPlan read(String name, String text, String arm) {
        TomlFile file = TomlFile.read(name, text);
        TomlTable.Source source = file.source();
        JsonNode root = file.root();
        if (arm != null) {
            set(source, root, arm);
        }
        FleetPlan plan = plan(source, new TomlTable(source, root, ""));
        file.throwIfFaulty();
        return plan;
    }

    /** Sets in the tree what the arm sets: the reading after it is as strict as for the file itself. */
    private static void set(TomlTable.Source source, JsonNode root, String arm) {
        JsonNode arms = root.path("arm");
        for (int i = 0; i < arms.size(); i++) {
            if (!arms.get(i).path("name").asText().equals(arm)) {
                continue;
            }
            JsonNode set = arms.get(i).path("set");
            for (Iterator<Map.Entry<String, JsonNode>> all = set.fields(); all.hasNext();) {
                Map.Entry<String, JsonNode> one = all.next();
                put(source, root, one.getKey(), one.getValue(), "arm[" + i + "].set." + one.getKey());
            }
            return;
        }
        source.fault("arm", "there is no arm \"" + arm + "\"");
    }

    private static void put(TomlTable.Source source, JsonNode root, String path, JsonNode value,
            String from) {
        JsonNode at = root;
        String[] steps = path.split("[.\\[\\]]+");
        for (int i = 0; i < steps.length; i++) {
            boolean last = i == steps.length - 1;
            if (at instanceof ArrayNode array && steps[i].matches("\\d{1,6}")
                    && Integer.parseInt(steps[i]) < array.size()) {
                int place = Integer.parseInt(steps[i]);
                if (last) {
                    array.set(place, value);
                }
                at = array.get(place);
            } else if (at instanceof ObjectNode object) {
                if (last) {
                    object.set(steps[i], value);
                } else if (!object.has(steps[i])) {
                    object.putObject(steps[i]);
                }
                at = object.get(steps[i]);
            } else {
                source.fault(from, from + " names nothing in this file");
                return;
            }
        }
    }

    private static FleetPlan plan(TomlTable.Source source, TomlTable s) {
        List<FleetPlan.Machine> machines = new ArrayList<>();
        for (TomlTable m : s.tables("machine")) {
            machines.add(new FleetPlan.Machine(m.name("name"), m.integer("slots", 1, 10_000, 4),
                    m.number("speed", 0.001, 1000, 1), m.integer("waiting", 0, MOST, 64),
                    m.number("memory", 0, 1e9, 1e6)));
            m.rejectUnknownKeys();
        }
        List<FleetPlan.Site> sites = new ArrayList<>();
        for (TomlTable site : s.tables("site")) {
            sites.add(site(site, machines));
        }
        List<FleetPlan.Type> types = new ArrayList<>();
        for (TomlTable t : s.tables("type")) {
            types.add(type(t));
        }
        needs(source, sites.isEmpty(), "site", "at least one site, as [[site]]");
        needs(source, machines.isEmpty(), "machine", "at least one machine, as [[machine]]");
        needs(source, types.isEmpty(), "type", "at least one traffic type, as [[type]]");
        FleetPlan plan = new FleetPlan(s.span("length", Span.ofMillis(20_000)),
                s.integer("seed", 0, Integer.MAX_VALUE, 1), sites,
                machines, types, arrivals(s.table("arrivals"), sites), clients(s.table("clients")),
                workers(s.table("workers")), cold(s.table("cold")), reports(s.table("reports")),
                roster(s.table("roster")), network(s.table("network")),
                dispatchers(s.table("dispatchers")),
                members(s.table("members"), s.has("members")), leases(s, types),
                troubles(s, sites), trials(s.table("experiment")), ladder(s.table("ladder")),
                arms(s));
        if (!plan.length().longerThan(plan.clients().warmUp())) {
            s.fault("length", "is to be longer than clients.warm_up");
        }
        s.rejectUnknownKeys();
        return plan;
    }

    private static void needs(TomlTable.Source source, boolean lacks, String key, String what) {
        if (lacks) {
            source.fault(key, "the file lacks " + what);
        }
    }

    private static FleetPlan.Site site(TomlTable s, List<FleetPlan.Machine> machines) {
        List<FleetPlan.WorkerGroup> groups = new ArrayList<>();
        for (TomlTable w : s.tables("workers")) {
            String machine = w.name("machine");
            if (machines.stream().noneMatch(m -> m.name().equals(machine))) {
                w.fault("machine", "is \"" + machine + "\", which no [[machine]] is named");
            }
            groups.add(new FleetPlan.WorkerGroup(machine, w.integer("count", 1, 20_000, 1)));
            w.rejectUnknownKeys();
        }
        FleetPlan.Site site = new FleetPlan.Site(s.name("name"), s.number("share", 0, 1e6, 1),
                s.integer("dispatchers", 0, MOST_DISPATCHERS, 1), groups);
        s.rejectUnknownKeys();
        return site;
    }

    private static FleetPlan.Type type(TomlTable s) {
        FleetPlan.Type type = new FleetPlan.Type(s.name("name"), s.number("share", 0, 1e6, 1),
                s.oneOf("effect", FleetPlan.Type.Effect.class, FleetPlan.Type.Effect.IDEMPOTENT),
                s.oneOf("group", FleetPlan.Type.Group.class, FleetPlan.Type.Group.CELL),
                s.span("window", Span.ofMillis(5000)),
                s.span("work", Span.ofMillis(50)),
                s.oneOf("spread", FleetPlan.Type.Spread.class, FleetPlan.Type.Spread.FIXED),
                s.span("due", Span.ofMillis(200)), s.number("stretch", 0, 100, 2),
                s.span("expiry", Span.ofMillis(5000)), s.number("earnings", 0, 1e6, 1),
                s.number("late_earnings", 0, 1e6, 0), s.number("slots", 0.001, 1000, 1),
                s.number("memory", 0, 1e6, 0), s.integer("body", 0, 60_000, 100));
        if (type.expiry().micros() <= type.due().micros()) {
            s.fault("expiry", "is to be longer than due");
        }
        s.rejectUnknownKeys();
        return type;
    }

    private static FleetPlan.Arrivals arrivals(TomlTable s, List<FleetPlan.Site> sites) {
        List<FleetPlan.Burst> bursts = new ArrayList<>();
        for (TomlTable b : s.tables("burst")) {
            bursts.add(new FleetPlan.Burst(b.span("at", Span.ZERO), b.span("length", Span.ofMillis(1000)),
                    b.number("times", 0, 1000, 2), siteName(b, sites)));
            b.rejectUnknownKeys();
        }
        FleetPlan.Arrivals arrivals =
                new FleetPlan.Arrivals(s.number("rate", 0, 1e6, 100), s.flag("even", false),
                        s.integer("objects", 0, MOST, 1000), bursts);
        s.rejectUnknownKeys();
        return arrivals;
    }

    private static FleetPlan.Clients clients(TomlTable s) {
        FleetPlan.Clients clients =
                new FleetPlan.Clients(s.integer("processes", 1, 16, 1), s.integer("retries", 0, 20, 2),
                        s.range("wait", Range.of(200, 400)), s.flag("honour_return", true),
                        s.number("patience", 0.01, 1, 1), s.range("dead_front", Range.of(1000, 2000)),
                        s.span("most_late", Span.ofMillis(5)), s.integer("idle", 0, MOST, 0),
                        s.integer("in_hand", 0, 100_000, 0), s.flag("keep", true),
                        s.span("warm_up", Span.ZERO));
        s.rejectUnknownKeys();
        return clients;
    }

    private static FleetPlan.Workers workers(TomlTable s) {
        FleetPlan.Workers workers = new FleetPlan.Workers(s.flag("tell_start", true),
                s.span("progress", Span.ofMillis(1000)),
                s.flag("stop_work", true), s.flag("in_order", true), s.span("idle", Span.ofMillis(60_000)),
                s.integer("cell", 1, MOST, 2), s.span("connection_cost", Span.ZERO));
        s.rejectUnknownKeys();
        return workers;
    }

    private static FleetPlan.Cold cold(TomlTable s) {
        FleetPlan.Cold cold =
                new FleetPlan.Cold(s.number("from", 0.01, 1, 0.12), s.span("warm", Span.ofMillis(8000)),
                        s.number("tip", 1, 1000, 4), s.span("fall", Span.ofMillis(1500)));
        s.rejectUnknownKeys();
        return cold;
    }

    private static FleetPlan.Reports reports(TomlTable s) {
        List<FleetPlan.Reports.Figure> figures = new ArrayList<>();
        for (String name : s.strings("figures", List.of("free-slots", "waiting"))) {
            try {
                figures.add(FleetPlan.Reports.Figure
                        .valueOf(name.toUpperCase(java.util.Locale.ROOT).replace('-', '_')));
            } catch (IllegalArgumentException e) {
                s.fault("figures",
                        "holds \"" + name + "\", expected free-slots, waiting, held or free-memory");
            }
        }
        FleetPlan.Reports reports =
                new FleetPlan.Reports(
                        s.oneOf("how", FleetPlan.Reports.How.class, FleetPlan.Reports.How.INLINE),
                        figures, s.span("refresh", Span.ofMillis(500)));
        s.rejectUnknownKeys();
        return reports;
    }

    private static FleetPlan.Roster roster(TomlTable s) {
        FleetPlan.Roster roster = new FleetPlan.Roster(s.integer("port", 0, 65_000, 0),
                s.range("delay", Range.of(200, 1000)), s.flag("live_weights", false),
                s.span("refresh", Span.ofMillis(1000)), s.span("grace", Span.ofMillis(250)));
        s.rejectUnknownKeys();
        return roster;
    }

    private static FleetPlan.Network network(TomlTable s) {
        FleetPlan.Network network = new FleetPlan.Network(s.range("crossing", Range.of(0, 0)));
        s.rejectUnknownKeys();
        return network;
    }

    private static FleetPlan.Dispatchers dispatchers(TomlTable s) {
        FleetPlan.Dispatchers d = new FleetPlan.Dispatchers(s.integer("port", 0, 65_000, 0),
                s.integer("memory_mb", 32, 65_536, 192),
                s.integer("sockets", 104, MOST, 1024), s.text("cpus", ""), s.text("jar", ""),
                s.strings("java", List.of()), s.flag("probes", true), s.flag("copies", true),
                s.integer("most_assignments", 1, 20, 5), s.span("longest_return", Span.ofMillis(2000)),
                s.node("settings"));
        s.rejectUnknownKeys();
        return d;
    }

    private static FleetPlan.Members members(TomlTable s, boolean named) {
        Span period = s.span("period", Span.ofMillis(200));
        FleetPlan.Members m =
                new FleetPlan.Members(s.flag("on", named), period,
                        s.span("forget", Span.ofMillis(86_400_000)),
                        s.flag("news", true), s.span("known_by", period.times(40)),
                        s.span("agree_by", period.times(60)));
        s.rejectUnknownKeys();
        return m;
    }

    private static FleetPlan.Leases leases(TomlTable s, List<FleetPlan.Type> types) {
        TomlTable l = s.table("leases");
        List<FleetPlan.Duty> duties = new ArrayList<>();
        for (TomlTable d : s.tables("duty")) {
            FleetPlan.Duty duty =
                    new FleetPlan.Duty(d.name("name"), d.name("type"), d.span("every", Span.ofMillis(5000)),
                            d.integer("objects", 1, MOST, 10), d.number("rate", 0.1, 10_000, 10));
            if (types.stream().noneMatch(t -> t.name().equals(duty.type()))) {
                d.fault("type", "is \"" + duty.type() + "\", which no [[type]] is named");
            }
            d.rejectUnknownKeys();
            duties.add(duty);
        }
        FleetPlan.Leases leases =
                new FleetPlan.Leases(l.integer("keepers", 1, 7, 3), l.span("term", Span.ofMillis(2000)),
                        l.number("drift", 0, 0.3, 0.01), l.flag("checked", true), duties);
        l.rejectUnknownKeys();
        return leases;
    }

    private static String siteName(TomlTable s, List<FleetPlan.Site> sites) {
        String name = s.text("site", "");
        if (!name.isEmpty() && sites.stream().noneMatch(x -> x.name().equals(name))) {
            s.fault("site", "is \"" + name + "\", which no [[site]] is named");
        }
        return name;
    }

    private static List<FleetPlan.Trouble> troubles(TomlTable s, List<FleetPlan.Site> sites) {
        List<FleetPlan.Trouble> troubles = new ArrayList<>();
        for (TomlTable t : s.tables("trouble")) {
            if (!t.has("what")) {
                t.fault("what", "is missing, expected a kind of trouble");
            }
            FleetPlan.Trouble trouble = new FleetPlan.Trouble(
                    t.oneOf("what", FleetPlan.Trouble.Kind.class, FleetPlan.Trouble.Kind.SLOW),
                    t.span("at", Span.ZERO),
                    t.span("length", Span.ofMillis(5000)), t.number("share", 0, 1, 0), siteName(t, sites),
                    t.strings("names", List.of()), t.number("factor", 1, 1000, 4),
                    t.number("rate", 0, 1, 0.5), t.span("delay", Span.ofMillis(1000)));
            if (trouble.what() == FleetPlan.Trouble.Kind.CUT && trouble.site().isEmpty()) {
                t.fault("site", "is missing: a cut is of one site");
            }
            for (String pair : trouble.ofWays() ? trouble.names() : List.<String>of()) {
                if (!pair.matches("(d\\d+|\\*)[>=](d\\d+|\\*)")) {
                    t.fault("names", "holds \"" + pair
                            + "\", expected a pair such as \"d1>d2\", \"d1=d2\" or \"d1=*\"");
                }
            }
            if (trouble.ofWays() && trouble.names().isEmpty() && trouble.site().isEmpty()) {
                t.fault("names", "is missing: pairs such as \"d1>d2\", or a site");
            }
            t.rejectUnknownKeys();
            troubles.add(trouble);
        }
        return troubles;
    }

    private static FleetPlan.Trials trials(TomlTable s) {
        List<Long> seeds = new ArrayList<>();
        int pairs = s.integer("pairs", 1, 1000, 6);
        int first = s.integer("first_seed", 0, MOST, 1);
        for (int i = 0; i < pairs; i++) {
            seeds.add((long) first + i);
        }
        FleetPlan.Trials trials = new FleetPlan.Trials(seeds, s.number("confidence", 0.5, 0.999, 0.95),
                s.span("settle", Span.ofMillis(1000)));
        s.rejectUnknownKeys();
        return trials;
    }

    private static FleetPlan.Ladder ladder(TomlTable s) {
        FleetPlan.Ladder ladder =
                new FleetPlan.Ladder(s.span("bound", Span.ofMillis(2)), s.number("most", 1, 1e6, 20_000),
                        s.number("narrow", 0.01, 1, 0.1));
        s.rejectUnknownKeys();
        return ladder;
    }

    private static List<FleetPlan.Arm> arms(TomlTable s) {
        List<FleetPlan.Arm> arms = new ArrayList<>();
        for (TomlTable a : s.tables("arm")) {
            FleetPlan.Arm arm = new FleetPlan.Arm(a.name("name"), a.node("set"));
            if (arms.stream().anyMatch(b -> b.name().equals(arm.name()))) {
                a.fault("name", "is \"" + arm.name() + "\", like the name of another arm");
            }
            a.rejectUnknownKeys();
            arms.add(arm);
        }
        return arms;
    }
}
