package rampshift.jobs.host;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import rampshift.connections.Dialer;
import rampshift.connections.ExchangeListener;
import rampshift.connections.HttpConnection;
import rampshift.connections.ResponseHead;
import rampshift.jobs.JobProgress;
import rampshift.jobs.PeriodicJob;
import rampshift.jobs.PeriodicJobSettings;
import rampshift.leases.host.LeaseHost;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Hands the tasks of duties in at the dispatcher's own door, as any client would. The lease is asked for at
 * the last
 * moment, as the first byte is written; the token goes with each task, and no task outlasts what is left of
 * the lease.
 */
public final class PeriodicJobHost {
    private static final Span LOOK = Span.ofMillis(20);
    private static final Span DIAL = Span.ofMillis(1000);
    private static final double SAFE = 0.8;             // of what is left of the lease a task may take

    private final LeaseHost leases;
    private final XnioIoThread thread;
    private final Dialer dialer;
    private final Clock clock;
    private final InetSocketAddress door;
    private final List<PeriodicJob> duties = new ArrayList<>();
    private final List<String> names;
    private final ArrayDeque<HttpConnection> idle = new ArrayDeque<>();
    private XnioExecutor.Key timer;
    private boolean ended;

    /** Door: where this dispatcher takes tasks. */
    public PeriodicJobHost(List<PeriodicJobSettings> plans, LeaseHost leases, XnioIoThread thread,
            Clock clock,
            InetSocketAddress door) {
        this.leases = leases;
        this.thread = thread;
        this.clock = clock;
        this.door = door;
        dialer = new Dialer(thread);
        names = plans.stream().map(PeriodicJobSettings::name).toList();
        for (PeriodicJobSettings plan : plans) {
            duties.add(new PeriodicJob(plan, leases.term(), new Handing(plan)));
        }
        look();
    }

    private void look() {
        if (ended) {
            return;
        }
        long wall = System.currentTimeMillis() * 1000;
        long[] tokens = leases.tokens(names);
        for (int i = 0; i < tokens.length; i++) {
            PeriodicJob duty = duties.get(i);
            PeriodicJobSettings plan = duty.plan();
            long due = plan.due(wall,
                    plan.after().isEmpty() ? JobProgress.NONE : JobProgress.of(leases.note(plan.after())));
            duty.look(clock.now(), due, tokens[i], tokens[i] == 0 ? "" : leases.note(names.get(i)));
        }
        timer = thread.executeAfter(this::look, LOOK.micros(), TimeUnit.MICROSECONDS);
    }

    /** A page for people. */
    public String page() {
        StringBuilder text = new StringBuilder();
        for (PeriodicJob duty : duties) {
            PeriodicJobSettings plan = duty.plan();
            JobProgress p = JobProgress.of(leases.note(plan.name()));
            text.append(String.format("  %-24s run %d %s, %d of %d settled, %d may be out, held %s%n",
                    plan.name(), p.run(),
                    p.over() ? "over" : "under way", p.from(), plan.objects().size(), p.to() - p.from(),
                    leases.remaining(plan.name()).longerThan(Span.ZERO) ? "here" : "elsewhere or by nobody"));
        }
        return text.toString();
    }

    public void end() {
        ended = true;
        if (timer != null) {
            timer.remove();
        }
        idle.forEach(HttpConnection::close);
    }

    private PeriodicJob of(PeriodicJobSettings plan) {
        return duties.stream().filter(d -> d.plan() == plan).findFirst().orElseThrow();
    }

    /** What one duty hands in. */
    private final class Handing implements PeriodicJob.Out {
        private final PeriodicJobSettings plan;

        Handing(PeriodicJobSettings plan) {
            this.plan = plan;
        }

        @Override
        public void hand(int object, String id, String txn) {
            new Task(plan, object, id, txn).start();
        }

        @Override
        public void note(String text) {
            leases.writeNote(plan.name(), text);
        }

        @Override
        public void tell(String what, long run, int object) {
            leases.logEvent("duty-" + what, plan.name(), leases.token(plan.name()), run + "/" + object);
        }
    }

    /** One task at the door, from its dial to its answer. */
    private final class Task implements ExchangeListener, Dialer.DialListener {
        private final PeriodicJobSettings plan;
        private final int object;
        private final String id;
        private final String txn;
        private final long token;
        private HttpConnection connection;
        private int status;
        private Span comeBack = Span.ofMillis(200);
        private boolean written;

        Task(PeriodicJobSettings plan, int object, String id, String txn) {
            this.plan = plan;
            this.object = object;
            this.id = id;
            this.txn = txn;
            token = leases.token(plan.name());
        }

        void start() {
            for (connection = idle.poll(); connection != null && !connection.isReusable(); connection =
                    idle.poll()) {
                connection.close();
            }
            if (connection == null) {
                dialer.dial(door, DIAL, this);
            } else {
                connection.exchange(this, message());
            }
        }

        @Override
        public void onConnected(HttpConnection made) {
            connection = made;
            connection.exchange(this, message());
        }

        @Override
        public void onUnreachable(String why) {
            over(PeriodicJob.End.NEVER_RAN);
        }

        private ByteBuffer message() {
            Span left = leases.remaining(plan.name()).times(SAFE).orShorter(plan.patience());
            byte[] body = plan.body().replace("{object}", plan.objects().get(object))
                    .getBytes(StandardCharsets.UTF_8);
            String head = "POST " + plan.target().replace("{object}", plan.objects().get(object))
                    + " HTTP/1.1\r\nHost: duty\r\nX-Txn: "
                    + txn + "\r\nX-Lane: " + plan.type() + "\r\nX-Remaining: "
                    + left.orLonger(Span.ofMillis(1)).seconds()
                    + "\r\nIdempotency-Key: " + id + "\r\nRampshift-Token: " + plan.name() + " " + token
                    + "\r\nContent-Length: "
                    + body.length + "\r\n\r\n";
            byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
            return ByteBuffer.allocate(first.length + body.length).put(first).put(body).flip();
        }

        /** The last moment: what was stopped between the asking and here does not act. */
        @Override
        public boolean mayWriteFirstByte() {
            written =
                    leases.remaining(plan.name()).longerThan(Span.ZERO) && leases.token(plan.name()) == token;
            if (!written) {
                connection.close();
                thread.execute(() -> over(PeriodicJob.End.NEVER_RAN));
            }
            return written;
        }

        @Override
        public void onHead(ResponseHead head) {
            status = head.status();
            String after = head.field("Retry-After");
            if (after != null && after.matches("\\d{1,6}(\\.\\d{1,6})?")) {
                comeBack = Span.ofMillis(Double.parseDouble(after) * 1000);
            }
        }

        @Override
        public void onComplete() {
            if (connection.isReusable() && !ended) {
                idle.push(connection);
            } else {
                connection.close();
            }
            over(status == 200 ? PeriodicJob.End.DONE
                    : status == 503 || status == 429 || status == 400 ? PeriodicJob.End.NEVER_RAN
                            : PeriodicJob.End.MAY_HAVE_RUN);
        }

        @Override
        public void onFailure(String why) {
            over(written ? PeriodicJob.End.MAY_HAVE_RUN : PeriodicJob.End.NEVER_RAN);
        }

        private void over(PeriodicJob.End end) {
            Moment now = clock.now();
            of(plan).ended(now, token, object, end, comeBack);
        }
    }
}
