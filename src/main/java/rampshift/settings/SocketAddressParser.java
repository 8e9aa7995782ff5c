package rampshift.settings;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the socket addresses of configurations and endpoint lists. */
final class SocketAddressParser {
    private static final String OCTET = "(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)";
    private static final Pattern ADDRESS = Pattern
            .compile("((?:OCTET\\.){3}OCTET|\\[[0-9a-fA-F:.]+\\]):(\\d{1,5})".replace("OCTET", OCTET));
    private static final int MAX_PORT = 65_535;

    private SocketAddressParser() {}

    /**
     * Parses an IPv4 or bracketed IPv6 address with its port. Host names are not resolved, since that could
     * block.
     */
    static InetSocketAddress parse(String key, String text) {
        if (text == null) {
            throw ConfigurationException.ofKey(key, key + " is missing");
        }
        InetSocketAddress address = addressOrNull(text);
        if (address == null) {
            throw ConfigurationException.ofKey(key, key + " is not an address with a port");
        }
        return address;
    }

    private static InetSocketAddress addressOrNull(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches()) {
            return null;
        }
        int port = Integer.parseInt(matcher.group(2));
        if (port > MAX_PORT) {
            return null;
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(matcher.group(1)), port);
        } catch (IOException e) {
            return null;        // invalid IPv6 address in brackets
        }
    }
}
