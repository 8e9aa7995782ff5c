package rampshift.testbed.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import rampshift.settings.ConfigurationException;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.wire.LoopbackNetwork;

/** Writes the configurations of a plan's dispatchers, as files for {@code NODE_CONFIG}. */
final class DispatcherConfigurations {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String LISTEN = "listen";
    private static final int SEED_FACTOR = 1000;

    private final FleetPlan plan;
    private final long seed;
    private final RunFolder folder;

    /**
     * Creates a writer.
     *
     * @param seed the seed of the run, from which the seeds of the dispatchers are derived
     * @param folder where the files are written
     */
    DispatcherConfigurations(FleetPlan plan, long seed, RunFolder folder) {
        this.plan = plan;
        this.seed = seed;
        this.folder = folder;
    }

    /**
     * Writes the configuration of one dispatcher.
     *
     * @param dispatcher the number of the dispatcher, from 0
     * @param site the number of its site, from 0
     * @param listen the address where it listens
     * @param discoveryPort the port of its discovery agent on 127.0.0.1
     * @param endpointList the initial endpoint list, as JSON
     */
    void write(int dispatcher, int site, InetSocketAddress listen, int discoveryPort, String endpointList)
            throws IOException {
        ObjectNode root = JSON.createObjectNode();
        root.put("name", RunFolder.dispatcherName(dispatcher)).put(LISTEN, "127.0.0.1:" + listen.getPort())
                .put("discovery", "127.0.0.1:" + discoveryPort)
                .put("seed", Long.toHexString(seed * SEED_FACTOR + dispatcher));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", plan.dispatchers().memoryMb())
                .put("sockets", plan.dispatchers().sockets());
        root.set("known", JSON.readTree(endpointList));
        ObjectNode settings = new PolicySettings(plan).of(dispatcher, site);
        if (plan.dispatchers().settings() instanceof ObjectNode overrides) {
            settings.setAll(overrides);
        }
        root.set("settings", settings);
        JSON.writeValue(folder.configuration(dispatcher).toFile(), root);
    }

    /**
     * Reads the listen addresses of the dispatchers, by number.
     *
     * @throws ConfigurationException if the folder has no configuration
     */
    static List<InetSocketAddress> readListenAddresses(RunFolder folder) throws IOException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int dispatcher = 0; Files.exists(folder.configuration(dispatcher)); dispatcher++) {
            JsonNode root = JSON.readTree(folder.configuration(dispatcher).toFile());
            String listen = root.path(LISTEN).asText();
            int port = Integer.parseInt(listen.substring(listen.lastIndexOf(':') + 1));
            addresses.add(LoopbackNetwork.address(port));
        }
        if (addresses.isEmpty()) {
            throw new ConfigurationException(folder.path() + ": does not contain the configuration "
                    + RunFolder.dispatcherName(0) + ".json; the fleet command writes it");
        }
        return addresses;
    }
}
