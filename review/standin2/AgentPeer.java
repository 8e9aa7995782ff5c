import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A sound discovery agent whose list does not change: answers the list at once, and a watch when its wait is over. */
final class AgentPeer {
    private final ServerSocket server;
    private final String targets;

    AgentPeer(List<WorkerPeer> workers, List<Integer> groups) throws IOException {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < workers.size(); i++) {
            entries.add("{\"uid\":\"" + workers.get(i).uid + "\",\"endpoint\":\"127.0.0.1:"
                    + workers.get(i).port() + "\",\"az\":\"one\",\"model\":\"m\",\"pod_group\":" + groups.get(i)
                    + ",\"state\":\"in_service\",\"capacity_hint\":1.0,\"boot_ms\":0}");
        }
        targets = String.join(",", entries);
        server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Threads.start(() -> {
            while (true) {
                Socket socket = server.accept();
                Threads.start(() -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Returns the whole list in discovery's form. */
    String list() {
        return "{\"rev\":1,\"all\":true,\"targets\":[" + targets + "]}";
    }

    private void serve(Socket socket) throws Exception {
        socket.setTcpNoDelay(true);
        try (socket) {
            for (HttpText r = HttpText.read(socket.getInputStream()); r != null; r =
                    HttpText.read(socket.getInputStream())) {
                int wait = r.target().indexOf("wait=");
                String body = list();
                if (wait >= 0) {
                    Thread.sleep(Long.parseLong(r.target().substring(wait + 5)));
                    body = "{\"rev\":1,\"all\":false,\"targets\":[]}";
                }
                String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n";
                socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
            }
        }
    }
}
