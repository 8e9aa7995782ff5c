package rampshift;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.URL;
import java.nio.charset.StandardCharsets;

/** Asks a running dispatcher for one of its own pages. */
final class StatusClient {
    private static final int TIMEOUT_MS = 3000;

    private StatusClient() {}

    static String page(InetSocketAddress address, String path) throws IOException {
        URL url = new URL("http", address.getHostString(), address.getPort(), path);
        HttpURLConnection connection = (HttpURLConnection) url.openConnection(Proxy.NO_PROXY);
        connection.setConnectTimeout(TIMEOUT_MS);
        connection.setReadTimeout(TIMEOUT_MS);
        try (var in = connection.getInputStream()) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } finally {
            connection.disconnect();
        }
    }
}
