package rampshift.testbed.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import rampshift.settings.ConfigurationException;
import rampshift.testbed.links.LinkProxy;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.wire.LoopbackNetwork;

/** The configurations of a plan's dispatchers, as files that {@code NODE_CONFIG} can name. */
final class Configurations {
    private static final int SEEDS = 2;
    private static final ObjectMapper JSON = new ObjectMapper();

    private Configurations() {}

    /** Dispatchers are numbered through the sites, from 0; the first is called d1. */
    static String name(int dispatcher) {
        return "d" + (dispatcher + 1);
    }

    static Path file(Path folder, int dispatcher) {
        return folder.resolve(name(dispatcher) + ".json");
    }

    static void write(Path folder, FleetPlan plan, long seed, int dispatcher, int site,
            InetSocketAddress listen,
            int agentPort, String known) throws IOException {
        ObjectNode root = JSON.createObjectNode();
        root.put("name", name(dispatcher)).put("listen", "127.0.0.1:" + listen.getPort())
                .put("discovery", "127.0.0.1:" + agentPort)
                .put("seed", Long.toHexString(seed * 1000 + dispatcher));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", plan.dispatchers().memoryMb())
                .put("sockets", plan.dispatchers().sockets());
        root.set("known", JSON.readTree(known));
        ObjectNode settings = settings(plan, dispatcher, site);
        if (plan.dispatchers().settings() instanceof ObjectNode own) {
            settings.setAll(own);
        }
        root.set("settings", settings);
        JSON.writeValue(file(folder, dispatcher).toFile(), root);
    }

    static Path operatorFile(Path folder, int dispatcher) {
        return folder.resolve(name(dispatcher) + ".toml");
    }

    /** Its fellows as it reaches them; the first two, or whoever is there, are its seeds. */
    static void writeOperator(Path folder, FleetPlan plan, int dispatcher, int site,
            List<InetSocketAddress> members,
            LinkProxy ways) throws IOException {
        StringBuilder text =
                new StringBuilder("[members]\nfleet = \"trial\"\nsite = \"" + plan.sites().get(site).name()
                        + "\"\nlisten = \"" + members.get(dispatcher).getHostString() + ":"
                        + members.get(dispatcher).getPort() + "\"\nperiod = \""
                        + plan.members().period().micros() + "us\"\nforget = \""
                        + Math.round(plan.members().forget().millis())
                        + "ms\"\nnews = " + plan.members().news() + "\nledger = '"
                        + folder.resolve("members-" + name(dispatcher)
                                + ".ledger")
                        + "'\nseeds = [");
        StringBuilder reach = new StringBuilder();
        int seeds = 0;
        for (int other = 0; other < members.size(); other++) {
            if (other != dispatcher) {
                String at = "\"127.0.0.1:" + ways.address(dispatcher, other).getPort() + "\"";
                if (seeds++ < SEEDS) {
                    text.append(seeds == 1 ? "" : ", ").append(at);
                }
                reach.append("[[members.reach]]\nname = \"" + name(other) + "\"\naddress = " + at + "\n");
            }
        }
        text.append("]\n").append(reach);
        if (!plan.leases().duties().isEmpty()) {
            leases(text, folder, plan, dispatcher);
        }
        Files.writeString(operatorFile(folder, dispatcher), text.toString());
    }

    private static void leases(StringBuilder text, Path folder, FleetPlan plan, int dispatcher) {
        FleetPlan.Leases l = plan.leases();
        List<String> keepers = new ArrayList<>();
        for (int k = 0; k < Math.min(l.keepers(), plan.dispatcherCount()); k++) {
            keepers.add('"' + name(k) + '"');
        }
        text.append("[leases]\nkeepers = [").append(String.join(", ", keepers)).append("]\nterm = \"")
                .append(Math.round(l.term().millis())).append("ms\"\ndrift = ").append(l.drift())
                .append("\nledger = '")
                .append(folder.resolve("leases-" + name(dispatcher) + ".ledger")).append("'\n");
        if (dispatcher < l.keepers()) {
            text.append("directory = '").append(keeps(folder, dispatcher)).append("'\n");
        }
        for (FleetPlan.Duty d : l.duties()) {
            FleetPlan.Type type =
                    plan.types().stream().filter(t -> t.name().equals(d.type())).findFirst().orElseThrow();
            text.append("[[duty]]\nname = \"").append(d.name()).append("\"\ntype = \"").append(d.type())
                    .append("\"\nevery = \"")
                    .append(Math.round(d.every().millis())).append("ms\"\nobjects = ").append(d.objects())
                    .append("\nrate = ")
                    .append(d.rate()).append("\ntarget = \"/api/{object}\"\nbody = \"work=")
                    .append(type.work().micros()).append(',')
                    .append(type.slots()).append(',').append(type.memory()).append(";\"\n");
        }
    }

    /** Where a dispatcher keeps registers. */
    static Path keeps(Path folder, int dispatcher) {
        return folder.resolve("keeper-" + name(dispatcher));
    }

    private static ObjectNode settings(FleetPlan plan, int dispatcher, int site) {
        ObjectNode s = JSON.createObjectNode();
        ArrayNode zones = s.putArray("Zones");
        plan.sites().forEach(x -> zones.add(x.name()));
        ArrayNode kinds = s.putArray("Kinds");
        plan.machines().forEach(x -> kinds.add(x.name()));
        s.put("Zone", site).put("Me", dispatcher).put("PeersTotal", plan.dispatcherCount())
                .put("GranularityMs", 1.0)
                .put("WeightSource", plan.roster().liveWeights() ? "live" : "nominal");
        s.putObject("Costs").put("CrossZone", 0.1).put("Waste", 0.01).put("Probe", 0.01);
        ObjectNode family = s.putObject("FamilyInfo").put("TellsStart", plan.workers().tellsStart())
                .put("ProgressMs", plan.workers().progress().millis());
        ArrayNode names = JSON.createArrayNode();
        if (plan.reports().how() != FleetPlan.Reports.How.NONE) {
            for (FleetPlan.Reports.Figure figure : plan.reports().figures()) {
                switch (figure) {
                    case FREE_SLOTS -> {
                        family.put("ReportX0", "free slots");
                        names.add("x0");
                    }
                    case FREE_MEMORY -> {
                        family.put("ReportX1", "free memory");
                        names.add("x1");
                    }
                    case WAITING -> names.add("queue");
                    case HELD -> names.add("inflight");
                }
            }
        }
        s.putObject("LoadInfo")
                .put("How", plan.reports().how() == FleetPlan.Reports.How.PROBE ? "on_probe" : "inline")
                .set("Names", names);
        s.putObject("Limits").put("Cancel", plan.workers().stops())
                .put("SecondCopies", plan.dispatchers().copies())
                .put("RetryAfter", true).put("MaxRetryAfterMs", plan.dispatchers().longestReturn().millis())
                .put("MayProbe", plan.dispatchers().probes())
                .put("MostAssignments", plan.dispatchers().mostAssignments()).put("DialTimeoutMs", 100.0)
                .put("ConnIdleMs", plan.workers().idle().millis());
        s.putObject("Rules").put("ColdFrom", plan.cold().from()).put("ColdMs", plan.cold().warm().millis())
                .put("TipMultiple", plan.cold().tip()).put("FallMs", plan.cold().fall().millis())
                .put("StopSendingWithinMs", plan.roster().grace().millis());
        ArrayNode types = s.putArray("TrafficTypes");
        for (FleetPlan.Type t : plan.types()) {
            types.addObject().put("Name", t.name()).put("DueTimeMs", t.due().millis())
                    .put("AimStretch", t.stretch())
                    .put("ExpiryMs", t.expiry().millis()).put("Earnings", t.earnings())
                    .put("TardyEarnings", t.lateEarnings()).put("WindowMs", t.window().millis())
                    .put("Effect", switch (t.effect()) {
                        case IDEMPOTENT -> "safe";
                        case FINGERPRINTED -> "keyed";
                        case SIDE_EFFECTING -> "unsafe";
                    }).put("DedupScope", switch (t.group()) {
                        case ALL -> "all";
                        case SITE -> "zone";
                        case CELL -> "cell";
                    });
        }
        return s;
    }

    /** Where the dispatchers of a folder listen, in their order. */
    static List<InetSocketAddress> listens(Path folder) throws IOException {
        List<InetSocketAddress> all = new ArrayList<>();
        for (int d = 0; Files.exists(file(folder, d)); d++) {
            JsonNode root = JSON.readTree(file(folder, d).toFile());
            String listen = root.path("listen").asText();
            all.add(LoopbackNetwork.address(Integer.parseInt(listen.substring(listen.lastIndexOf(':') + 1))));
        }
        if (all.isEmpty()) {
            throw new ConfigurationException(
                    folder + ": holds no configuration " + name(0) + ".json; `fleet` writes them");
        }
        return all;
    }
}
