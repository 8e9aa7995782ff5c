import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound worker: takes each task, starts waiting tasks in order as slots are free, runs each for a fixed time,
 * tells of start and end, reports its load in the line that ends an attempt. A task that waits is dropped when
 * its connection ends; one that runs goes on. A repeat of an idempotency key that this group of workers has seen
 * within the window is answered from memory and not run again.
 */
final class WorkerPeer {
    private record Job(Socket socket, HttpText request, String id) {}

    final String uid;
    private final Journal journal;
    private final int slots;
    private final long runMillis;
    /** Keys of tasks that ran, with their time in milliseconds; shared by a group. Null: keys are not looked at. */
    private final Map<String, Long> seen;
    private final long windowMillis;
    private final ServerSocket server;
    private final BlockingQueue<Job> waiting = new LinkedBlockingQueue<>();
    private final AtomicInteger running = new AtomicInteger();
    private final Map<Socket, Boolean> gone = new ConcurrentHashMap<>();

    WorkerPeer(String uid, Journal journal, int slots, long runMillis) throws IOException {
        this(uid, journal, slots, runMillis, null, 0);
    }

    WorkerPeer(String uid, Journal journal, int slots, long runMillis, Map<String, Long> seen,
            long windowMillis) throws IOException {
        this.uid = uid;
        this.journal = journal;
        this.slots = slots;
        this.runMillis = runMillis;
        this.seen = seen;
        this.windowMillis = windowMillis;
        server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        for (int i = 0; i < slots; i++) {
            Threads.start(this::runJobs);
        }
        Threads.start(() -> {
            while (true) {
                Socket socket = server.accept();
                Threads.start(() -> serve(socket));
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    private String load() {
        int busy = running.get();
        return "{\"x0\":" + Math.max(0, slots - busy - waiting.size()) + ",\"queue\":" + waiting.size() + "}";
    }

    private void serve(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        try (socket) {
            for (HttpText r = HttpText.read(socket.getInputStream()); r != null; r =
                    HttpText.read(socket.getInputStream())) {
                if (r.firstLine().startsWith("GET ")) {
                    String body = load();
                    write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                    continue;
                }
                String id = r.field("x-txn");
                journal.add(uid, "received", describe(r));
                write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                waiting.add(new Job(socket, r, id));
            }
        } catch (IOException e) {
            // The dispatcher has closed or reset the connection.
        } finally {
            gone.put(socket, true);
        }
    }

    static String describe(HttpText request) {
        return request.target() + " key=" + request.field("idempotency-key") + " txn="
                + request.field("x-txn") + " token=" + request.field("rampshift-token").replace(' ', '/')
                + " type=" + request.field("x-lane");
    }

    private void runJobs() throws Exception {
        while (true) {
            Job job = waiting.take();
            if (gone.containsKey(job.socket())) {
                journal.add(uid, "dropped", describe(job.request()));
                continue;
            }
            running.incrementAndGet();
            try {
                run(job);
            } catch (IOException e) {
                journal.add(uid, "unheard", describe(job.request()));
            } finally {
                running.decrementAndGet();
            }
        }
    }

    private void run(Job job) throws Exception {
        String key = job.request().field("idempotency-key");
        boolean repeat = false;
        if (seen != null && !key.isEmpty()) {
            long now = System.nanoTime() / 1_000_000;
            Long before = seen.putIfAbsent(key, now);
            repeat = before != null && now - before <= windowMillis;
        }
        if (!repeat) {
            journal.add(uid, "started", describe(job.request()));
            line(job, "\"state\":\"started\"");
            Thread.sleep(runMillis);
            journal.add(uid, "ran", describe(job.request()));
        }
        running.decrementAndGet();
        String load = load();
        running.incrementAndGet();
        line(job, "\"state\":\"done\",\"result\":\"r-" + job.id() + "\",\"load\":" + load);
        write(job.socket(), "0\r\n\r\n");
    }

    private void line(Job job, String rest) throws IOException {
        String text = "{\"id\":\"" + job.id() + "\",\"from\":\"" + uid + "\"," + rest + "}\n";
        write(job.socket(), Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        synchronized (socket) {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }
}
