import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ConcurrentLinkedDeque;

/** Clients of one dispatcher: one request at a time on a connection, connections are kept. */
final class Client {
    private static final class Kept {
        final Socket socket;
        final InputStream in;

        Kept(int port) throws IOException {
            socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }
    }

    private final int port;
    private final ConcurrentLinkedDeque<Kept> idle = new ConcurrentLinkedDeque<>();

    Client(int port) {
        this.port = port;
    }

    /** Hands in one job and returns the answer; null if the connection ended without one. */
    Http.Message ask(String type, String object, String txn, String key, String labels,
            double remainingSeconds)
            throws IOException {
        String head = "POST /api/" + object + " HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: " + txn + "\r\nX-Lane: "
                + type + "\r\nX-Remaining: " + remainingSeconds + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + (labels == null ? "" : "X-Labels: " + labels + "\r\n") + "Content-Length: 4\r\n\r\nwork";
        Kept connection = idle.poll();
        boolean reused = connection != null;
        while (true) {
            if (connection == null) {
                connection = new Kept(port);
            }
            try {
                connection.socket.setSoTimeout((int) (remainingSeconds * 1000) + 1000);
                connection.socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
                Http.Message answer = Http.read(connection.in);
                if (answer != null) {
                    if (answer.field("connection").equals("close")) {
                        connection.socket.close();
                    } else {
                        idle.push(connection);
                    }
                    return answer;
                }
            } catch (IOException e) {
                if (!reused) {
                    connection.socket.close();
                    return null;
                }
            }
            connection.socket.close();
            if (!reused) {
                return null;
            }
            reused = false;
            connection = null;
        }
    }
}
