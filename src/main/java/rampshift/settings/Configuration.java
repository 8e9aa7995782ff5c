package rampshift.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What a dispatcher on sockets is told at its start: the file that {@code NODE_CONFIG} names. */
public final class Configuration {
    private static final String OCTET = "(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)";
    private static final Pattern ADDRESS = Pattern.compile(
            "((?:OCTET\\.){3}OCTET|\\[[0-9a-fA-F:.]+\\]):(\\d{1,5})".replace("OCTET", OCTET));
    private static final long LARGEST = 1 << 22;

    public String name = "?";
    public InetSocketAddress listen;
    public InetSocketAddress discovery;
    public long seed;
    public int memoryMb = 192;
    public int sockets = 1024;
    /** The list of workers as last had, in discovery's form; null where there is none. */
    public byte[] known;
    public SettingsReader settings;

    private Configuration() {}

    /** Reads it all, or throws a Malformed that says in one line what is wrong. */
    public static Configuration read(Map<String, String> environment) {
        String file = environment.get("NODE_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new InvalidInputException("NODE_CONFIG is not set");
        }
        Configuration c = new Configuration();
        try {
            Path path = Path.of(file);
            if (Files.size(path) > LARGEST) {
                throw new InvalidInputException(file + ": over " + LARGEST + " bytes");
            }
            c.parse(Files.readAllBytes(path), environment);
        } catch (JsonProcessingException e) {
            throw new InvalidInputException(file + ": " + e.getOriginalMessage().replace('\n', ' '));
        } catch (IOException | java.nio.file.InvalidPathException e) {
            throw new InvalidInputException(file + ": cannot be read (" + e.getClass().getSimpleName() + ")");
        } catch (InvalidInputException e) {
            throw new InvalidInputException(file + ": " + e.getMessage());
        }
        return c;
    }

    /** Reads it from bytes alone. */
    public static Configuration read(byte[] bytes) throws IOException {
        Configuration c = new Configuration();
        c.parse(bytes, Map.of());
        return c;
    }

    /** What the next one names otherwise and is only looked at when a dispatcher starts. */
    public List<String> restartFor(Configuration next) {
        List<String> names = new ArrayList<>();
        if (!name.equals(next.name)) {
            names.add("name");
        }
        if (!listen.equals(next.listen)) {
            names.add("listen");
        }
        if (memoryMb != next.memoryMb || sockets != next.sockets) {
            names.add("limits");
        }
        if (!settings.equals(next.settings)) {
            names.add("settings");
        }
        return names;
    }

    private void parse(byte[] bytes, Map<String, String> environment) throws IOException {
        String nodeName = environment.get("NODE_NAME");
        String listenText = environment.get("NODE_LISTEN");
        String discoveryText = environment.get("NODE_DISCOVERY");
        JsonFactory json = new JsonFactory();
        try (JsonParser in = json.createParser(bytes)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidInputException("not an object");
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String field = in.currentName();
                JsonToken value = in.nextToken();
                switch (field) {
                    case "name" -> nodeName = text(in, field);
                    case "listen" -> listenText = text(in, field);
                    case "discovery" -> discoveryText = text(in, field);
                    case "seed" -> seed = seed(text(in, field));
                    case "limits" -> limits(in);
                    case "known" -> known = value == JsonToken.START_OBJECT ? copy(json, in) : skip(in);
                    case "settings" -> {
                        if (value != JsonToken.START_OBJECT) {
                            throw new InvalidInputException("settings is not an object");
                        }
                        settings = new SettingsReader(in);
                    }
                    default -> in.skipChildren();
                }
            }
        }
        name = nodeName == null ? "?" : nodeName;
        listen = address("listen", listenText);
        discovery = address("discovery", discoveryText);
        if (settings == null) {
            throw new InvalidInputException("settings is missing");
        }
        // Here, where the file is still named: serve met what was wrong in them too late.
        settings.read(seed);
    }

    private void limits(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new InvalidInputException("limits is not an object");
        }
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            in.nextToken();
            switch (field) {
                case "memory_mb" -> memoryMb = (int) positive(in, field);
                case "sockets" -> sockets = (int) positive(in, field);
                default -> in.skipChildren();
            }
        }
        if (sockets < 64) {
            throw new InvalidInputException("limits.sockets: fewer than 64 are too few to serve with");
        }
    }

    private static double positive(JsonParser in, String field) throws IOException {
        if (!in.currentToken().isNumeric() || !(in.getDoubleValue() >= 1) || in.getDoubleValue() > 1e9) {
            throw new InvalidInputException("limits." + field + " is not a number of 1 or more");
        }
        return in.getDoubleValue();
    }

    private static String text(JsonParser in, String field) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_STRING) {
            throw new InvalidInputException(field + " is not text");
        }
        return in.getText();
    }

    private static byte[] skip(JsonParser in) throws IOException {
        in.skipChildren();
        return null;
    }

    private static byte[] copy(JsonFactory json, JsonParser in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator copy = json.createGenerator(out)) {
            copy.copyCurrentStructure(in);
        }
        return out.toByteArray();
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new InvalidInputException("seed is not a hexadecimal number of 64 bits");
        }
    }

    /** An address and a port; names are not looked up. */
    public static InetSocketAddress address(String what, String text) {
        if (text == null) {
            throw new InvalidInputException(what + " is missing");
        }
        Matcher m = ADDRESS.matcher(text);
        try {
            if (m.matches() && Integer.parseInt(m.group(2)) <= 65535) {
                return new InetSocketAddress(InetAddress.getByName(m.group(1)), Integer.parseInt(m.group(2)));
            }
        } catch (IOException e) {
            // Falls through: an address of four numbers over 255, say.
        }
        throw new InvalidInputException(what + " is not an address with a port");
    }
}
