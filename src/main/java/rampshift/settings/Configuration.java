package rampshift.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What a dispatcher on sockets is configured with: the file that {@code NODE_CONFIG} names. */
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
     * Reads the file that {@code NODE_CONFIG} names. {@code NODE_NAME}, {@code NODE_LISTEN} and {@code
     * NODE_DISCOVERY} stand in for what the file leaves out. A {@link ConfigurationException} names the
     * file.
     */
    public static Configuration read(Map<String, String> environment) {
        return ConfigurationReader.readFile(environment);
    }

    /**
     * Reads a configuration from its bytes alone. Throws a {@link ConfigurationException} for what it must
     * not hold, and an {@link IOException} with line and column for what is no JSON.
     */
    public static Configuration read(byte[] bytes) throws IOException {
        return new ConfigurationReader().read(bytes, Map.of());
    }

    /** An address with its port; names are not resolved. The key is named where the text is neither. */
    public static InetSocketAddress address(String key, String text) {
        return SocketAddressParser.parse(key, text);
    }

    /** The dispatcher's name; "?" where neither file nor environment states one. */
    public String name() {
        return name;
    }

    /** Where the dispatcher listens for clients. */
    public InetSocketAddress listen() {
        return listen;
    }

    /** Where the endpoint list is polled. */
    public InetSocketAddress discovery() {
        return discovery;
    }

    /** The seed of all random draws. */
    public long seed() {
        return seed;
    }

    /** How much memory the process may take, in MB. */
    public int memoryMb() {
        return memoryMb;
    }

    /** How many descriptors the process may have open. */
    public int sockets() {
        return sockets;
    }

    /** The endpoint list as last received, in discovery's form; null where the file has none. */
    public byte[] knownEndpoints() {
        return knownEndpoints;
    }

    /** The settings of the dispatch policy and of the host. */
    public SettingsReader settings() {
        return settings;
    }

    /**
     * The parts in which the next configuration differs and which take effect only when a dispatcher
     * starts.
     */
    public List<String> restartFor(Configuration next) {
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
