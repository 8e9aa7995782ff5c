import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A sound client: hands in one task on a connection of its own and waits for the answer. */
final class ClientPeer {
    private ClientPeer() {}

    /** Hands in one task in a thread of its own and records what became of it. */
    static void send(Journal journal, String dispatcher, int port, String id, String type, double seconds) {
        Threads.start(() -> {
            String detail = id + " to " + dispatcher;
            Socket socket = new Socket();
            try {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            } catch (IOException e) {
                journal.add("client", "no-way", detail);
                return;
            }
            socket.setTcpNoDelay(true);
            try (socket) {
                String body = "x";
                String text = "POST /api/" + id + " HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: " + id
                        + "\r\nX-Lane: " + type + "\r\nX-Remaining: " + seconds + "\r\nIdempotency-Key: k" + id
                        + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
                journal.add("client", "sends", detail);
                socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
                socket.setSoTimeout(20_000);
                HttpText answer = HttpText.read(socket.getInputStream());
                journal.add("client", "answer", detail + " " + (answer == null ? "none" : answer.firstLine()));
            } catch (IOException e) {
                journal.add("client", "answer", detail + " none: " + e.getMessage());
            }
        });
    }
}
