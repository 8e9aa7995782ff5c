package rampshift.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Map;

/** Reads one configuration; its fields hold the values read so far. */
final class ConfigurationReader {
    private static final String FILE_VARIABLE = "NODE_CONFIG";
    private static final long MAX_FILE_BYTES = 1 << 22;
    private static final int MIN_SOCKETS = 64;
    private static final double MAX_LIMIT = 1e9;
    private static final int HEXADECIMAL = 16;
    private static final JsonFactory JSON = new JsonFactory();

    String name;
    InetSocketAddress listen;
    InetSocketAddress discovery;
    long seed;
    int memoryMb = 192;
    int sockets = 1024;
    byte[] knownEndpoints;
    SettingsReader settings;
    private String listenText;
    private String discoveryText;

    static Configuration readFile(Map<String, String> environment) {
        String file = environment.get(FILE_VARIABLE);
        if (file == null || file.isEmpty()) {
            throw ConfigurationException.ofKey(FILE_VARIABLE, FILE_VARIABLE + " is not set");
        }
        try {
            Path path = Path.of(file);
            if (Files.size(path) > MAX_FILE_BYTES) {
                // The catch block below adds the file name again; operators know the message in that form.
                throw new ConfigurationException(file + ": over " + MAX_FILE_BYTES + " bytes");
            }
            return new ConfigurationReader().read(Files.readAllBytes(path), environment);
        } catch (JsonProcessingException e) {
            throw ConfigurationException.ofFile(file, e.getOriginalMessage().replace('\n', ' '));
        } catch (IOException | InvalidPathException e) {
            throw ConfigurationException.ofFile(file,
                    "cannot be read (" + e.getClass().getSimpleName() + ")");
        } catch (ConfigurationException e) {
            throw e.in(file);
        }
    }

    Configuration read(byte[] bytes, Map<String, String> environment) throws IOException {
        name = environment.get("NODE_NAME");
        listenText = environment.get("NODE_LISTEN");
        discoveryText = environment.get("NODE_DISCOVERY");
        try (JsonParser in = JSON.createParser(bytes)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new ConfigurationException("not an object");
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String key = in.currentName();
                in.nextToken();
                readEntry(in, key);
            }
        }
        name = name == null ? "?" : name;
        listen = SocketAddressParser.parse("listen", listenText);
        discovery = SocketAddressParser.parse("discovery", discoveryText);
        if (settings == null) {
            throw ConfigurationException.ofKey("settings", "settings is missing");
        }
        settings.read(seed);    // reports invalid settings while the file name is known
        return new Configuration(this);
    }

    private void readEntry(JsonParser in, String key) throws IOException {
        switch (key) {
            case "name" -> name = text(in, key);
            case "listen" -> listenText = text(in, key);
            case "discovery" -> discoveryText = text(in, key);
            case "seed" -> seed = seed(text(in, key));
            case "limits" -> readLimits(in);
            case "known" -> knownEndpoints = copyObject(in);
            case "settings" -> {
                expectObject(in, key);
                settings = new SettingsReader(in);
            }
            default -> in.skipChildren();
        }
    }

    private void readLimits(JsonParser in) throws IOException {
        expectObject(in, "limits");
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String key = in.currentName();
            in.nextToken();
            switch (key) {
                case "memory_mb" -> memoryMb = limit(in, key);
                case "sockets" -> sockets = limit(in, key);
                default -> in.skipChildren();
            }
        }
        if (sockets < MIN_SOCKETS) {
            throw ConfigurationException.ofKey("limits.sockets",
                    "limits.sockets: fewer than " + MIN_SOCKETS + " are too few to serve with");
        }
    }

    private static int limit(JsonParser in, String key) throws IOException {
        if (!in.currentToken().isNumeric() || !(in.getDoubleValue() >= 1)
                || in.getDoubleValue() > MAX_LIMIT) {
            throw ConfigurationException.ofKey("limits." + key,
                    "limits." + key + " is not a number of 1 or more");
        }
        return (int) in.getDoubleValue();
    }

    private static void expectObject(JsonParser in, String key) {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw ConfigurationException.ofKey(key, key + " is not an object");
        }
    }

    private static String text(JsonParser in, String key) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_STRING) {
            throw ConfigurationException.ofKey(key, key + " is not text");
        }
        return in.getText();
    }

    /** Returns the JSON of the object at the parser's position. Skips any other value and returns null. */
    private static byte[] copyObject(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            in.skipChildren();
            return null;
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.copyCurrentStructure(in);
        }
        return bytes.toByteArray();
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, HEXADECIMAL);
        } catch (NumberFormatException e) {
            throw ConfigurationException.ofKey("seed", "seed is not a hexadecimal number of 64 bits");
        }
    }
}
