import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The discovery agent of one machine: the whole list, and a watch on changes (here always the whole list). */
final class Discovery {
    private static final Pattern WATCH = Pattern.compile("index=(\\d+)&wait=(\\d+)");
    private final ServerSocket server;
    private final List<String> entries = new ArrayList<>();
    private long version = 1;

    Discovery() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Lab.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Replaces the list. */
    synchronized void list(List<String> next) {
        entries.clear();
        entries.addAll(next);
        version++;
        notifyAll();
    }

    static String entry(String uid, int port, String zone, int cell, String state, long bootMs) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port
                + "\",\"az\":\"" + zone + "\",\"model\":\"m1\",\"pod_group\":" + cell + ",\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + "}";
    }

    synchronized String json() {
        return "{\"rev\":" + version + ",\"all\":true,\"targets\":[" + String.join(",", entries) + "]}";
    }

    private synchronized String answer(String target) throws InterruptedException {
        Matcher watch = WATCH.matcher(target);
        if (watch.find()) {
            long known = Long.parseLong(watch.group(1));
            long end = System.nanoTime() + Long.parseLong(watch.group(2)) * 1_000_000;
            while (version <= known && System.nanoTime() < end) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
            if (version <= known) {
                return "{\"rev\":" + version + ",\"all\":false,\"targets\":[]}";
            }
        }
        return json();
    }

    private void accept() throws IOException {
        while (true) {
            Socket peer = server.accept();
            Lab.daemon(() -> serve(peer));
        }
    }

    private void serve(Socket peer) throws IOException, InterruptedException {
        try (peer) {
            peer.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(peer.getInputStream());
            OutputStream out = peer.getOutputStream();
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                byte[] body = answer(call.first.split(" ")[1]).getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length + "\r\n\r\n" + new String(body, StandardCharsets.UTF_8))
                                .getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        }
    }
}
