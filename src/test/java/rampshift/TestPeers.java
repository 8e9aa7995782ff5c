package rampshift;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import rampshift.serve.DispatcherServer;
import rampshift.settings.Configuration;

/** What the stories are told with: a fake host of the module, and small stand-ins on loopback. */
public final class TestPeers {
    /** Far beyond what anything here takes: a story that waits so long has failed. */
    private static final int LONG_MS = 20_000;

    private TestPeers() {}

    /** Waits until it is so. */
    public static void until(String what, Callable<Boolean> so) throws Exception {
        for (long end = System.nanoTime() + LONG_MS * 1_000_000L; !so.call();) {
            if (System.nanoTime() > end) {
                throw new AssertionError("never: " + what);
            }
            Thread.sleep(2);
        }
    }

    /** One message of HTTP/1.1 as it came: the head's lines, and the body's bytes. */
    public record Message(List<String> head, byte[] body) {
        public String startLine() {
            return head.get(0);
        }

        public int status() {
            return Integer.parseInt(startLine().substring(9, 12));
        }

        public String field(String name) {
            for (String line : head) {
                if (line.regionMatches(true, 0, name + ": ", 0, name.length() + 2)) {
                    return line.substring(name.length() + 2);
                }
            }
            return null;
        }

        public String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        static Message read(InputStream in) throws IOException {
            List<String> head = new ArrayList<>();
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            while (true) {
                int b = in.read();
                if (b < 0) {
                    throw new EOFException();
                }
                if (b != '\n') {
                    line.write(b);
                    continue;
                }
                String text = line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
                line.reset();
                if (text.isEmpty()) {
                    break;
                }
                head.add(text);
            }
            Message bare = new Message(head, new byte[0]);
            String length = bare.field("Content-Length");
            if (length == null) {
                return bare;
            }
            byte[] body = in.readNBytes(Integer.parseInt(length));
            if (body.length < Integer.parseInt(length)) {
                // half a message is none: its last byte may have been held back for good
                throw new EOFException();
            }
            return new Message(head, body);
        }
    }

    /** One end of a connection. */
    public static final class Line implements Closeable {
        private final Socket socket;

        public Line(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(LONG_MS);
            socket.setTcpNoDelay(true);
        }

        /** Connects to a dispatcher, as a client does. */
        public Line(DispatcherServer node) throws IOException {
            this(new Socket(node.address().getAddress(), node.address().getPort()));
        }

        public Line write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        public Message read() throws IOException {
            return Message.read(socket.getInputStream());
        }

        /** What comes up to a text, that one with it; or up to the end. */
        public String readUntil(String text) throws IOException {
            StringBuilder came = new StringBuilder();
            try {
                while (came.indexOf(text) < 0) {
                    int b = socket.getInputStream().read();
                    if (b < 0) {
                        return came + "[END]";
                    }
                    came.append((char) b);
                }
            } catch (SocketTimeoutException e) {
                return came + "[SILENCE]";
            } catch (IOException e) {
                return came + "[RESET]";
            }
            return came.toString();
        }

        /** Waits so long at most for what is read. */
        public Line readTimeout(int ms) throws IOException {
            socket.setSoTimeout(ms);
            return this;
        }

        /** Waits for the other side to end it; what still comes is skipped. */
        public boolean closedByPeer() {
            try {
                return socket.getInputStream().skip(Long.MAX_VALUE) >= 0
                        && socket.getInputStream().read() < 0;
            } catch (SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            }
        }

        public int port() {
            return socket.getLocalPort();
        }

        /** Sends a task: the traffic type's name, and its body. */
        public Line sendTask(String txn, String type, String body) throws IOException {
            return write("POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: " + txn + "\r\nX-Lane: " + type
                    + "\r\nX-Remaining: 5.0\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }

        /** Ends the connection by FIN, or by RST. */
        public void disconnect(String how) throws IOException {
            socket.setSoLinger(how.equals("rst"), 0);
            socket.close();
        }

        /** A worker's answer: lines of a task's progress, in chunks. */
        public void respondWithProgress(String... lines) throws IOException {
            StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (String line : lines) {
                text.append(Integer.toHexString(line.length() + 1)).append("\r\n").append(line)
                        .append("\n\r\n");
            }
            write(text + "0\r\n\r\n");
        }

        public void respondDone(Message task, String result) throws IOException {
            String id = "{\"id\":\"" + task.field("X-Txn") + "\",";
            respondWithProgress(id + "\"state\":\"started\"}",
                    id + "\"state\":\"done\",\"result\":\"" + result + "\"}");
        }

        public void respondStatus(int status, String fields) throws IOException {
            write("HTTP/1.1 " + status + " x\r\n" + fields + "Content-Length: 0\r\n\r\n");
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** What a stand-in does with each message; it may close the line. */
    public interface Script {
        void play(Message message, Line line) throws Exception;
    }

    /** A worker or a list service on loopback. */
    public static final class Peer implements Closeable {
        private final ServerSocket socket;
        public final List<Message> received = Collections.synchronizedList(new ArrayList<>());
        /** Ends of connections that the other side has made and ended. */
        public final List<Line> ended = Collections.synchronizedList(new ArrayList<>());
        public final List<Line> lines = Collections.synchronizedList(new ArrayList<>());

        public Peer(Script script) throws IOException {
            this(0, script);
        }

        /** One that comes up at an address that was named before. */
        public static Peer at(int port, Script script) throws IOException {
            return new Peer(port, script);
        }

        private Peer(int port, Script script) throws IOException {
            socket = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
            thread(() -> {
                while (true) {
                    Line line = new Line(socket.accept());
                    lines.add(line);
                    thread(() -> {
                        try {
                            while (true) {
                                Message message = line.read();
                                received.add(message);
                                script.play(message, line);
                            }
                        } finally {
                            ended.add(line);
                            line.close();
                        }
                    });
                }
            });
        }

        private interface Work {
            void run() throws Exception;
        }

        private static void thread(Work work) {
            Thread thread = new Thread(() -> {
                try {
                    work.run();
                } catch (Exception e) {
                    // The stand-in or its line was closed.
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        public int port() {
            return socket.getLocalPort();
        }

        /** An entry of discovery's list for it. */
        public String entry(String uid, String state) {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port()
                    + "\",\"az\":\"a\",\"model\":\"m\","
                    + "\"pod_group\":1,\"state\":\"" + state + "\",\"capacity_hint\":4.0,\"boot_ms\":0}";
        }

        /** A list of workers that changes as the story says. */
        public static Peer discovery(List<String> versions) throws IOException {
            return new Peer((message, line) -> {
                String first = message.startLine();
                int at = first.indexOf("index=");
                int known = at < 0 ? 0 : Integer.parseInt(first.substring(at + 6, first.indexOf('&')));
                long end = System.nanoTime() + (at < 0 ? 0
                        : 1_000_000 * Long.parseLong(first.replaceAll(".*wait=(\\d+).*", "$1")));
                while (versions.size() <= known && System.nanoTime() < end) {
                    Thread.sleep(2);
                }
                boolean news = at < 0 || versions.size() > known;
                String body = !news ? list(false) : versions.get(at < 0 ? versions.size() - 1 : known);
                body = body.replace("REV",
                        String.valueOf(at < 0 ? versions.size() : news ? known + 1 : known));
                line.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            });
        }

        @Override
        public void close() throws IOException {
            socket.close();
            for (Line line : new ArrayList<>(lines)) {
                line.close();
            }
        }
    }

    /** A list in discovery's form. */
    public static String list(boolean whole, String... entries) {
        return "{\"rev\":REV,\"all\":" + whole + ",\"targets\":[" + String.join(",", entries) + "]}";
    }

    /** A dispatcher that is ready. */
    public static DispatcherServer node(Peer discovery, String known, String limits) throws Exception {
        DispatcherServer node = new DispatcherServer(
                Configuration.read(configuration(discovery, known, limits).getBytes(StandardCharsets.UTF_8)));
        node.awaitReady();
        return node;
    }

    /** A configuration with the idempotent type look, sell that has side effects, and mark. */
    public static String configuration(Peer discovery, String known, String limits) {
        String settings =
                """
                        "Zones":["a"],"Kinds":["m"],"Zone":0,"PeersTotal":1,"FamilyInfo":{"TellsStart":true,
                        "ReportX0":"free slots"},"WeightSource":"live","Limits":{"Cancel":true,"SecondCopies":false,
                        "RetryAfter":true,"MaxRetryAfterMs":2000,"MostAssignments":4,"DialTimeoutMs":500,"ConnIdleMs":1000},
                        "TrafficTypes":[{"Name":"look","DueTimeMs":1000,"AimStretch":3,"ExpiryMs":5000,"Effect":"safe"},
                        {"Name":"sell","DueTimeMs":1000,"AimStretch":3,"ExpiryMs":5000,"Effect":"unsafe"},
                        {"Name":"mark","DueTimeMs":1000,"AimStretch":3,"ExpiryMs":5000,"Effect":"keyed","DedupScope":"cell","WindowMs":4000},
                        {"Name":"flash","DueTimeMs":200,"AimStretch":3,"ExpiryMs":600,"Effect":"unsafe"}]
                        """;
        return "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                + (discovery == null ? 1 : discovery.port()) + "\",\"limits\":" + limits + ",\"known\":"
                + known.replace("REV", "0") + ",\"settings\":{" + settings + "}}";
    }

}
