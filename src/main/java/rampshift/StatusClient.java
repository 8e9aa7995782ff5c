package rampshift;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.URL;
import java.nio.charset.StandardCharsets;

/** Fetches status pages of a running dispatcher. */
final class StatusClient {
    private static final int TIMEOUT_MS = 3000;

    private StatusClient() {}

    /**
     * Returns the body of a page as text. Blocks, and throws if the dispatcher does not respond with the
     * page.
     */
    static String page(InetSocketAddress address, String path) throws IOException {
        URL url = new URL("http", address.getHostString(), address.getPort(), path);
        HttpURLConnection connection = (HttpURLConnection) url.openConnection(Proxy.NO_PROXY);
        connection.setConnectTimeout(TIMEOUT_MS);
        connection.setReadTimeout(TIMEOUT_MS);
        try (InputStream in = connection.getInputStream()) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } finally {
            connection.disconnect();
        }
    }
}
