import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A worker: so many slots and a queue, started in order. A job whose connection ends is dropped. What happens to
 * a job is the script's.
 */
final class Worker {
    /** What a worker does beyond the ordinary; the defaults are a sound worker's. */
    interface Script {
        /** Called when a request is complete, before it is taken or turned away. */
        default void arrived(Worker worker, Job job) {}

        /** Called when a job begins to run. */
        default void begun(Worker worker, Job job) {}

        /** Called when a job has run to its end, before the last line is written. */
        default void ran(Worker worker, Job job) {}

        /** Called after a job has been turned away. */
        default void turnedAway(Worker worker, Job job) {}

        /** Returns how long the job runs, in milliseconds. */
        int runMs(Worker worker, Job job);
    }

    /** One request on a connection. */
    static final class Job {
        final Http.Message request;
        final Connection connection;
        volatile boolean dropped;

        Job(Http.Message request, Connection connection) {
            this.request = request;
            this.connection = connection;
        }

        String txn() {
            return request.field("X-Txn");
        }

        String key() {
            return request.field("Idempotency-Key");
        }

        /** Returns the memory that the job takes, in the unit of its label. */
        int memory() {
            String labels = request.field("X-Labels");
            return labels.startsWith("memory=") ? Integer.parseInt(labels.substring("memory=".length())) : 0;
        }

        /** Returns the dispatcher's port of the connection, which tells connections apart. */
        int port() {
            return connection.socket.getPort();
        }

        String target() {
            return request.first.split(" ")[1];
        }
    }

    /** A connection of a dispatcher. */
    static final class Connection {
        final Socket socket;
        final OutputStream out;
        /** The job that reached the worker last. */
        volatile Job job;
        private final double wayMs;
        /** What is on its way to the dispatcher, with the time at which it is there. */
        private final LinkedBlockingQueue<Map.Entry<Double, String>> onItsWay = new LinkedBlockingQueue<>();

        Connection(Socket socket, double wayMs) throws IOException {
            this.socket = socket;
            this.wayMs = wayMs;
            out = socket.getOutputStream();
            if (wayMs > 0) {
                Lab.daemon(this::carry);
            }
        }

        private void carry() throws IOException, InterruptedException {
            while (!socket.isClosed()) {
                Map.Entry<Double, String> next = onItsWay.poll(1, TimeUnit.SECONDS);
                if (next != null) {
                    Lab.sleep(Math.max(0, next.getKey() - Record.now()));
                    out.write(next.getValue().getBytes(StandardCharsets.UTF_8));
                }
            }
        }

        synchronized void write(String text) {
            if (wayMs > 0) {
                onItsWay.add(Map.entry(Record.now() + wayMs, text));
                return;
            }
            try {
                out.write(text.getBytes(StandardCharsets.UTF_8));
            } catch (IOException e) {
                // The dispatcher has gone.
            }
        }

        void chunk(String line) {
            write(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
        }
    }

    /** What a worker has of memory. */
    private static final int MEMORY = 4;

    final String uid;
    final int cell;
    private final int slots;
    private final int places;
    private final int maxWaitMs;
    private final Script script;
    /** The zone of the worker, and how long bytes take to and from it, one way. */
    private final String zone;
    private final double wayMs;
    private final ServerSocket server;
    private final Deque<Job> queue = new ArrayDeque<>();
    private volatile double speed = 1;
    private int running;
    private int memory;

    /**
     * Starts a worker.
     *
     * @param places jobs that may wait; more are turned away
     * @param maxWaitMs how long a job may wait before it is handed back unstarted; 0 for ever
     */
    Worker(String uid, int cell, int slots, int places, int maxWaitMs, Script script) throws IOException {
        this(uid, cell, slots, places, maxWaitMs, script, "a", 0);
    }

    /** Starts a worker in a zone. */
    Worker(String uid, int cell, int slots, int places, int maxWaitMs, Script script, String zone, double wayMs)
            throws IOException {
        this.uid = uid;
        this.cell = cell;
        this.slots = slots;
        this.places = places;
        this.maxWaitMs = maxWaitMs;
        this.script = script;
        this.zone = zone;
        this.wayMs = wayMs;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Lab.daemon(this::accept);
    }

    /** Sets the speed; 1 is the ordinary one. */
    void speed(double next) {
        speed = next;
    }

    String entry(String state) {
        return Discovery.entry(uid, server.getLocalPort(), zone, cell, state, 0);
    }

    private void accept() throws IOException {
        while (true) {
            Connection connection = new Connection(server.accept(), wayMs);
            Lab.daemon(() -> serve(connection));
        }
    }

    private void serve(Connection connection) throws IOException {
        try (Socket socket = connection.socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                if (call.first.startsWith("POST /api/")) {
                    Job job = new Job(call, connection);
                    Lab.daemon(() -> {
                        Lab.sleep(wayMs);
                        connection.job = job;
                        take(job);
                    });
                } else {
                    connection.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                }
            }
        } finally {
            if (connection.job != null) {
                drop(connection.job);
            }
        }
    }

    private synchronized void drop(Job job) {
        job.dropped = true;
        queue.remove(job);
        notifyAll();
    }

    private synchronized String load() {
        return "{\"x0\":" + Math.max(0, slots - running) + ",\"queue\":" + queue.size() + "}";
    }

    private String line(Job job, String state, String more) {
        return "{\"id\":\"" + job.txn() + "\",\"from\":\"" + uid + "\",\"state\":\"" + state + "\"" + more + "}";
    }

    private void take(Job job) throws InterruptedException {
        script.arrived(this, job);
        synchronized (this) {
            if (job.dropped) {
                return;
            }
            if ((running >= slots || memory + job.memory() > MEMORY) && queue.size() >= places) {
                job.dropped = true;
            } else {
                queue.add(job);
            }
        }
        if (job.dropped) {
            turnAway(job);
            script.turnedAway(this, job);
            return;
        }
        job.connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        if (!awaitSlot(job)) {
            return;
        }
        try {
            job.connection.chunk(line(job, "started", ""));
            script.begun(this, job);
            run(job, script.runMs(this, job));
            if (!job.dropped) {
                script.ran(this, job);
            }
        } finally {
            synchronized (this) {
                running--;
                memory -= job.memory();
                notifyAll();
            }
        }
        if (!job.dropped) {
            end(job, line(job, "done", ",\"result\":\"" + uid + "/" + job.txn() + "\",\"load\":" + load()));
        }
    }

    /** Runs a job, so long at the ordinary speed, or until it is dropped. */
    private synchronized void run(Job job, double workMs) throws InterruptedException {
        double left = workMs;
        double last = Record.now();
        while (left > 0 && !job.dropped) {
            wait((long) Math.ceil(Math.max(1, Math.min(20, left / speed))));
            double now = Record.now();
            left -= (now - last) * speed;
            last = now;
        }
    }

    /** Writes the answer that turns a job away. */
    void turnAway(Job job) {
        job.connection.write("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nX-Pressure: " + load()
                + "\r\nContent-Length: 0\r\n\r\n");
    }

    private void end(Job job, String last) {
        String chunk = Integer.toHexString(last.length() + 1) + "\r\n" + last + "\n\r\n";
        job.connection.write(chunk + "0\r\n\r\n");
    }

    /** Waits until the job is the first in the queue and a slot is free. Returns whether it may run. */
    private boolean awaitSlot(Job job) throws InterruptedException {
        double end = Record.now() + (maxWaitMs == 0 ? 1e9 : maxWaitMs);
        synchronized (this) {
            while (!job.dropped && (queue.peek() != job || running >= slots || memory + job.memory() > MEMORY)) {
                if (Record.now() >= end) {
                    queue.remove(job);
                    notifyAll();
                    break;
                }
                wait((long) Math.max(1, Math.min(1000, end - Record.now())));
            }
            if (job.dropped) {
                return false;
            }
            if (queue.peek() == job) {
                queue.poll();
                running++;
                memory += job.memory();
                notifyAll();
                return true;
            }
        }
        end(job, line(job, "returned", ",\"load\":" + load()));
        script.turnedAway(this, job);
        return false;
    }
}
