import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One dispatcher, twelve workers, clients. With trouble, part of the workers' answers never end for some seconds: their
 * last line goes on and on. Each request has to be answered in time, meanwhile and afterwards.
 */
final class NeverEnding {
    private static final int MEMORY_MB = 64;
    private static final int SOCKETS = 1024;
    private static final int WORKERS = 12;
    private static final int SLOTS = 8;
    private static final double SPOILT_SHARE = 0.7;
    private static final double PER_SECOND = 110;
    /** The size of a request's body, an eighth of what the protocol allows. */
    private static final int BODY_BYTES = 8_000;
    private static final int FIRST_PIECE_BYTES = 60_000;
    private static final int USUAL_MS = 8_000;
    private static final int SPOILT_MS = 20_000;
    private static final int AFTER_MS = 15_000;
    private static final int QUIET_MS = 8_000;
    /** How much later than its time a request may be answered, in milliseconds. */
    private static final double GRACE_MS = 500;
    private static final String[] TYPES = {"preview", "rederive", "license-sale", "upload-register"};
    private static final double[] SHARES = {0.46, 0.20, 0.19, 0.15};
    private static final double[] EXPIRY_S = {5, 6, 6, 5};

    private final Lab lab;
    private final Random random = new Random(3);
    private volatile boolean spoilt;
    private final AtomicInteger spoiltAnswers = new AtomicInteger();
    /** By phase: answers by status, with "none" for those that have no answer in time. */
    private final Map<String, Map<String, Integer>> answers = new TreeMap<>();
    private final ConcurrentLinkedDeque<Socket> idle = new ConcurrentLinkedDeque<>();
    private int lost;
    private volatile int port;

    private NeverEnding(Lab lab) {
        this.lab = lab;
    }

    private synchronized double draw() {
        return random.nextDouble();
    }

    // ---- workers

    private String worker(int number) throws IOException {
        ServerSocket server = new ServerSocket(0, 300, InetAddress.getByName("127.0.0.1"));
        Semaphore slots = new Semaphore(SLOTS, true);
        Lab.daemon(() -> {
            while (true) {
                Socket peer = server.accept();
                Lab.daemon(() -> serve("w" + number, slots, peer));
            }
        });
        return Discovery.entry("w" + number, server.getLocalPort(), number % 2 == 0 ? "a" : "b", number / 4, "in_service", 0);
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    private void serve(String uid, Semaphore slots, Socket peer) throws IOException, InterruptedException {
        try (peer) {
            peer.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(peer.getInputStream());
            OutputStream out = peer.getOutputStream();
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                String txn = call.field("X-Txn");
                String line = "{\"id\":\"" + txn + "\",\"from\":\"" + uid + "\",\"state\":\"";
                boolean isSpoilt = spoilt && draw() < SPOILT_SHARE;
                lab.record.line("%s receives %s%s", uid, txn, isSpoilt ? ", its answer will not end" : "");
                slots.acquire();
                try {
                    out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    chunk(out, line + "started\"}\n");
                    lab.record.line("%s runs %s", uid, txn);
                    Lab.sleep(100 + 100 * draw());
                } finally {
                    slots.release();
                }
                if (isSpoilt) {
                    spoiltAnswers.incrementAndGet();
                    goOn(out, line);
                }
                String load = ",\"load\":{\"x0\":" + slots.availablePermits() + ",\"queue\":" + slots.getQueueLength() + "}";
                chunk(out, line + "done\",\"result\":\"" + uid + "/" + txn + "\"" + load + "}\n");
                out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    /** Writes a last line that does not end, until the dispatcher closes the connection. */
    private static void goOn(OutputStream out, String line) throws IOException {
        byte[] piece = new byte[FIRST_PIECE_BYTES];
        Arrays.fill(piece, (byte) 'x');
        out.write(("fffff\r\n" + line + "done\",\"result\":\"").getBytes(StandardCharsets.US_ASCII));
        out.write(piece);
        while (true) {
            Lab.sleep(100);
            out.write('x');
        }
    }

    // ---- clients

    private void ask(String phase, int number) {
        int type = 0;
        for (double left = draw(); type < TYPES.length - 1 && left >= SHARES[type]; type++) {
            left -= SHARES[type];
        }
        String txn = String.format("%016x", 0x7500000000000000L + number);
        double end = Record.now() + EXPIRY_S[type] * 1000 + GRACE_MS;
        lab.record.line("a client sends %s (%s)", txn, TYPES[type]);
        String status = "none";
        try {
            Socket kept = idle.poll();
            status = exchange(kept, TYPES[type], EXPIRY_S[type], txn, end);
            if (status.equals("closed") && kept != null) {
                status = exchange(null, TYPES[type], EXPIRY_S[type], txn, end);
            }
        } finally {
            synchronized (this) {
                answers.computeIfAbsent(phase, key -> new TreeMap<>()).merge(status, 1, Integer::sum);
                boolean isLost = !status.matches("\\d+");
                lost += isLost ? 1 : 0;
                lab.record.line("%s (%s) is answered: %s%s", txn, TYPES[type], status, isLost ? ": BROKEN" : "");
            }
        }
    }

    private String exchange(Socket kept, String type, double expirySeconds, String txn, double end) {
        try {
            Socket socket = kept != null ? kept : new Socket();
            if (kept == null) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
                socket.setTcpNoDelay(true);
            }
            socket.setSoTimeout((int) Math.max(1, end - Record.now()));
            String head = "POST /api/o HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: " + txn + "\r\nX-Lane: " + type
                    + "\r\nX-Remaining: " + expirySeconds + "\r\nIdempotency-Key: k" + txn + "\r\nContent-Length: " + BODY_BYTES
                    + "\r\n\r\n";
            byte[] request = Arrays.copyOf(head.getBytes(StandardCharsets.US_ASCII), head.length() + BODY_BYTES);
            Arrays.fill(request, head.length(), request.length, (byte) 'b');
            socket.getOutputStream().write(request);
            Http.Message answer = Http.read(socket.getInputStream());
            if (answer == null) {
                socket.close();
                return "closed";
            }
            if (answer.field("connection").equals("close")) {
                socket.close();
            } else {
                idle.push(socket);
            }
            return String.valueOf(answer.status());
        } catch (SocketTimeoutException e) {
            return "none";
        } catch (IOException e) {
            return kept != null ? "closed" : "refused or reset";
        }
    }

    private void load(String phase, int millis, AtomicInteger numbers) {
        double end = Record.now() + millis;
        double next = Record.now();
        while (Record.now() < end) {
            int number = numbers.getAndIncrement();
            Lab.daemon(() -> ask(phase, number));
            next += -Math.log(1 - draw()) * 1000 / PER_SECOND;
            Lab.sleep(Math.max(0, next - Record.now()));
        }
    }

    /** Returns what the dispatcher answers when it is asked whether it is ready. */
    private String ready() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            Http.Message answer = Http.read(socket.getInputStream());
            return answer == null ? "closed without an answer" : String.valueOf(answer.status());
        } catch (IOException e) {
            return "no answer within 5 s (" + e.getMessage() + ")";
        }
    }

    // ---- the run

    private int run() throws IOException, InterruptedException, Lab.CannotRun {
        Discovery discovery = new Discovery();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            entries.add(worker(i));
        }
        discovery.list(entries);
        Lab.Dispatcher dispatcher = lab.dispatcher("n1", discovery, Settings.of(0, 1,
                Settings.type("preview", "safe", "all", 120, 2, 5000),
                Settings.type("rederive", "safe", "all", 250, 2.5, 6000),
                Settings.type("license-sale", "unsafe", "all", 400, 1.75, 6000),
                Settings.type("upload-register", "keyed", "cell", 120, 2.5, 5000)));
        Files.writeString(dispatcher.config, Files.readString(dispatcher.config).replace(
                "\"memory_mb\":192,\"sockets\":1024", "\"memory_mb\":" + MEMORY_MB + ",\"sockets\":" + SOCKETS));
        lab.start(dispatcher);
        lab.awaitReady(dispatcher);
        port = dispatcher.port;
        AtomicInteger numbers = new AtomicInteger();
        load("1 usual", USUAL_MS, numbers);
        spoilt = lab.trouble;
        lab.record.line("workers: %s", spoilt ? "many answers do not end from now on" : "all answers are sound");
        load("2 spoilt", SPOILT_MS, numbers);
        spoilt = false;
        lab.record.line("workers: all answers are sound again");
        load("3 after", AFTER_MS, numbers);
        Lab.sleep(QUIET_MS);
        lab.record.say("GET /ready, with sound workers for %d s: %s", (AFTER_MS + QUIET_MS) / 1000, ready());
        String log = lab.log(dispatcher);
        log.lines().filter(line -> line.contains("OutOfMemory")).limit(5).forEach(line -> lab.record.line("log: %s",
                line.substring(0, Math.min(220, line.length()))));
        String memory = "";
        if (dispatcher.process.isAlive()) {
            for (String line : Files.readAllLines(Path.of("/proc/" + dispatcher.process.pid() + "/status"))) {
                memory += line.startsWith("RssAnon") || line.startsWith("VmHWM") ? line.replaceAll("\\s+", " ") + " " : "";
            }
        }
        synchronized (this) {
            lab.record.say("%d answers did not end; %s; the process is %s %s", spoiltAnswers.get(), answers,
                    dispatcher.process.isAlive() ? "there" : "gone", memory);
            lab.record.say("requests without an answer half a second after their time: %d of %d", lost, numbers.get());
            return lost > 0 ? 1 : 0;
        }
    }

    public static void main(String[] arguments) {
        Lab.main(arguments[0], lab -> new NeverEnding(lab).run());
    }
}
