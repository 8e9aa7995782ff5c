package rampshift.testbed.experiment;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.URL;

/** Checks whether a dispatcher is ready for tasks. */
final class ReadinessProbe {
    private static final int TIMEOUT_MS = 1000;

    private ReadinessProbe() {}

    /** Returns whether the dispatcher reports that it is ready; waits for two seconds at most. */
    static boolean isReady(InetSocketAddress address) {
        try {
            URL url = new URL("http", address.getHostString(), address.getPort(), "/ready");
            HttpURLConnection connection = (HttpURLConnection) url.openConnection(Proxy.NO_PROXY);
            connection.setConnectTimeout(TIMEOUT_MS);
            connection.setReadTimeout(TIMEOUT_MS);
            connection.setRequestProperty("Connection", "close");
            return connection.getResponseCode() == HttpURLConnection.HTTP_OK;
        } catch (IOException e) {
            return false;
        }
    }
}
