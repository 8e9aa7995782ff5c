package rampshift.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The configuration of a dispatcher on sockets, read from the file that {@code NODE_CONFIG} names. */
public final class Configuration {
    private final String name;
    private final InetSocketAddress listen;
    private final InetSocketAddress discovery;
    private final long seed;
    private final int memoryMb;
    private final int sockets;
    private final byte[] knownEndpoints;
    private final SettingsReader settings;

    Configuration(ConfigurationReader values) {
        name = values.name;
        listen = values.listen;
        discovery = values.discovery;
        seed = values.seed;
        memoryMb = values.memoryMb;
        sockets = values.sockets;
        knownEndpoints = values.knownEndpoints;
        settings = values.settings;
    }

    /**
     * Reads the file that {@code NODE_CONFIG} names. {@code NODE_NAME}, {@code NODE_LISTEN} and
     * {@code NODE_DISCOVERY} are used for values that the file omits. A {@link ConfigurationException} names
     * the file.
     */
    public static Configuration read(Map<String, String> environment) {
        return ConfigurationReader.readFile(environment);
    }

    /**
     * Reads a configuration from bytes, without the environment. Throws a {@link ConfigurationException} for
     * invalid values, and an {@link IOException} with line and column for invalid JSON.
     */
    public static Configuration read(byte[] bytes) throws IOException {
        return new ConfigurationReader().read(bytes, Map.of());
    }

    /**
     * Parses an IP address with its port; host names are not resolved. The exception for an invalid address
     * names the key.
     */
    public static InetSocketAddress address(String key, String text) {
        return SocketAddressParser.parse(key, text);
    }

    /** Returns the dispatcher's name; "?" if neither the file nor the environment has one. */
    public String name() {
        return name;
    }

    /** Returns the address on which the dispatcher listens for clients. */
    public InetSocketAddress listen() {
        return listen;
    }

    /** Returns the address of the discovery agent, which serves the endpoint list. */
    public InetSocketAddress discovery() {
        return discovery;
    }

    /** Returns the seed of the random number generators. */
    public long seed() {
        return seed;
    }

    /** Returns the memory limit of the process, in MB. */
    public int memoryMb() {
        return memoryMb;
    }

    /** Returns the maximum number of open file descriptors of the process. */
    public int sockets() {
        return sockets;
    }

    /**
     * Returns the last received endpoint list in the JSON format of the discovery agent; null if the file has
     * none.
     */
    public byte[] knownEndpoints() {
        return knownEndpoints;
    }

    /** Returns the reader of the settings of the dispatch policy and of the host. */
    public SettingsReader settings() {
        return settings;
    }

    /**
     * Returns the parts in which the next configuration differs and which take effect only after a restart.
     */
    public List<String> partsRequiringRestart(Configuration next) {
        List<String> parts = new ArrayList<>();
        if (!name.equals(next.name)) {
            parts.add("name");
        }
        if (!listen.equals(next.listen)) {
            parts.add("listen");
        }
        if (memoryMb != next.memoryMb || sockets != next.sockets) {
            parts.add("limits");
        }
        if (!settings.equals(next.settings)) {
            parts.add("settings");
        }
        return parts;
    }
}
