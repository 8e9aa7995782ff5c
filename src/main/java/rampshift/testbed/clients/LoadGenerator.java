package rampshift.testbed.clients;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.apache.commons.rng.UniformRandomProvider;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.random.RandomStreams;
import rampshift.testbed.wire.FaultyConnection;
import rampshift.testbed.wire.LoopbackNetwork;
import rampshift.testbed.wire.Message;
import rampshift.testbed.wire.MessageReader;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Clients, open loop: tasks are sent when they are due, whatever became of those before, and latency counts
 * from
 * then. A stall of the dispatcher is not hidden, and neither is one of this tool: it counts its own lateness.
 */
public final class LoadGenerator {
    // still waited for, after a client gave up
    private static final Span LATE_ANSWERS = Span.ofMillis(400);
    private static final Span ASK_AGAIN = Span.ofMillis(200);
    private static final Span DIAL = Span.ofMillis(3000);
    private static final Span IDLE_APART = Span.ofMillis(10);   // they are not what is measured
    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final FleetPlan plan;
    private final long seed;
    private final int process;
    private final EventLog ledger;
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final FrontProxy front;
    private final UniformRandomProvider chance;
    private final LoadStatistics tally;
    private final List<ArrayDeque<Talk>> kept = new ArrayList<>();
    private final List<Talk> idle = new ArrayList<>();
    private final CountDownLatch idleUp;
    private final CountDownLatch over = new CountDownLatch(1);
    private Moment zero;
    private long ids;
    private int out;
    private boolean allSent;
    private Arrivals closedLoop;

    /** A task as its client sees it, through all its tries. */
    private record Task(long number, Arrivals.Arrival what, String key, Moment wanted) {}

    public LoadGenerator(FleetPlan plan, long seed, int process, List<InetSocketAddress> dispatchers,
            EventLog ledger)
            throws IOException {
        this.plan = plan;
        this.seed = seed;
        this.process = process;
        this.ledger = ledger;
        chance = RandomStreams.of(seed, "clients " + process);
        front = new FrontProxy(plan, dispatchers, RandomStreams.of(seed, "front " + process));
        tally = new LoadStatistics(plan);
        worker = LoopbackNetwork.createWorker("load");
        thread = worker.getIoThread(0);
        for (int i = 0; i < dispatchers.size(); i++) {
            kept.add(new ArrayDeque<>());
        }
        idleUp = new CountDownLatch(idleCount());
    }

    private int idleCount() {
        int all = plan.clients().idle();
        return all / plan.clients().processes() + (process < all % plan.clients().processes() ? 1 : 0);
    }

    /**
     * Opens the connections that each send one task and then stand idle; waits until they have, or some time.
     */
    public void openIdle(Span most) {
        int count = idleCount();
        for (int i = 0; i < count; i++) {
            FrontProxy.Member to = front.members().get(i % front.members().size());
            Arrivals.Arrival what = new Arrivals.Arrival(Span.ZERO, to.site, 0, Span.ofMillis(1), -1);
            thread.executeAfter(
                    () -> new Try(new Task(++ids, what, hex(), EventClock.now()), 0, to, true).start(),
                    Math.round(i * IDLE_APART.millis()), TimeUnit.MILLISECONDS);
        }
        try {
            idleUp.await(most.micros() + count * IDLE_APART.micros(), TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Begins at that moment. Returns at once. */
    @SuppressWarnings("ThreadPriorityCheck") // requests leave on time also on a busy machine
    public void start(Moment when) {
        zero = when;
        thread.execute(this::askSuspects);
        Thread pacer = new Thread(this::pace, "pacer");
        pacer.setDaemon(true);
        pacer.setPriority(Thread.MAX_PRIORITY);
        pacer.start();
    }

    /** Waits for the end: all tasks sent, all answers there or given up. */
    public void await() throws InterruptedException {
        over.await();
    }

    private void pace() {
        Arrivals arrivals = new Arrivals(plan, seed, process);
        if (plan.clients().inHand() > 0) {
            closed(arrivals);
            return;
        }
        for (Arrivals.Arrival next = arrivals.next(); next != null; next = arrivals.next()) {
            Arrivals.Arrival one = next;
            Moment due = zero.plus(one.at());
            waitFor(due);
            thread.execute(() -> arrives(one, due));
        }
        waitFor(zero.plus(plan.length()));
        thread.execute(this::noMore);
    }

    private static void waitFor(Moment due) {
        long nanos = EventClock.nanoTimeOf(due);
        for (long left = nanos - System.nanoTime(); left > 0; left = nanos - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }

    /** So many at a time: the next one goes when one has ended. */
    private void closed(Arrivals arrivals) {
        waitFor(zero);
        int each = Math.max(1, plan.clients().inHand() / plan.clients().processes());
        thread.execute(() -> {
            closedLoop = arrivals;
            for (int i = 0; i < each; i++) {
                nextInLoop();
            }
        });
        waitFor(zero.plus(plan.length()));
        thread.execute(this::noMore);
    }

    private void nextInLoop() {
        if (!allSent) {
            Moment now = EventClock.now();
            arrives(closedLoop.draw(now.since(zero)), now);
        }
    }

    private void noMore() {
        allSent = true;
        look();
    }

    private void look() {
        if (allSent && out == 0) {
            over.countDown();
        }
    }

    private void arrives(Arrivals.Arrival what, Moment due) {
        Task task = new Task(++ids, what, hex(), due);
        if (counts(task)) {
            tally.task(what.type(), what.at());
        }
        out++;
        new Try(task, 0, front.pick(what.site(), due), false).start();
    }

    private String hex() {
        return String.format(Locale.ROOT, "%016x%016x", chance.nextLong(), chance.nextLong());
    }

    /** Neither idle connections' tasks nor those of the warm-up are part of the figures. */
    private boolean counts(Task task) {
        return zero != null && !task.wanted().before(zero.plus(plan.clients().warmUp()));
    }

    private Span since(Moment now) {
        return now.since(zero);
    }

    private void askSuspects() {
        for (FrontProxy.Member m : front.suspects()) {
            dial(m, connection -> {
                FaultyConnection[] line = new FaultyConnection[1];
                MessageReader reader = new MessageReader(answer -> {
                    if (answer.status() == 200) {
                        front.ready(m);
                    }
                    line[0].close();
                });
                line[0] = new FaultyConnection(connection, thread, reading(reader));
                line[0].write("GET /ready HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n");
                line[0].start();
            }, why -> {});
        }
        if (!allSent || out > 0) {
            thread.executeAfter(this::askSuspects, Math.round(ASK_AGAIN.millis()), TimeUnit.MILLISECONDS);
        }
    }

    private static FaultyConnection.Listener reading(MessageReader reader) {
        return new FaultyConnection.Listener() {
            @Override
            public void onBytes(byte[] bytes, int count) {
                try {
                    reader.read(bytes, 0, count, EventClock.now());
                } catch (IOException e) {
                    // It is not ready then.
                }
            }

            @Override
            public void onClosed(boolean reset) {
                // It is asked again.
            }
        };
    }

    private interface Opened {
        void connected(StreamConnection connection);
    }

    private interface Unreachable {
        void why(String why);
    }

    private void dial(FrontProxy.Member to, Opened opened, Unreachable failed) {
        boolean[] over = new boolean[1];
        IoFuture<StreamConnection> coming = thread.openStreamConnection(to.address, c -> {
            if (over[0]) {
                org.xnio.IoUtils.safeClose(c);
                return;
            }
            over[0] = true;
            opened.connected(c);
        }, OPTIONS);
        XnioExecutor.Key timer = thread.executeAfter(() -> {
            if (!over[0]) {
                over[0] = true;
                coming.cancel();
                failed.why("no connection in time");
            }
        }, Math.round(DIAL.millis()), TimeUnit.MILLISECONDS);
        coming.addNotifier((future, nothing) -> {
            thread.execute(timer::remove);
            if (future.getStatus() == IoFuture.Status.FAILED) {
                thread.execute(() -> {
                    if (!over[0]) {
                        over[0] = true;
                        failed.why("refused");
                    }
                });
            }
        }, null);
    }

    /** A connection that is kept between tasks. */
    private final class Talk implements FaultyConnection.Listener {
        final FrontProxy.Member to;
        final FaultyConnection line;
        private final MessageReader reader = new MessageReader(this::answered);
        private Try now;
        private boolean used;

        Talk(FrontProxy.Member to, StreamConnection connection) {
            this.to = to;
            line = new FaultyConnection(connection, thread, this);
            line.start();
            tally.opened++;
        }

        void exchange(Try one, byte[] message) {
            now = one;
            line.write(message);
        }

        @Override
        public void onBytes(byte[] bytes, int count) {
            if (now == null) {
                // The one that this connection answered last has got a second answer, or bytes of nobody's.
                ledger.append(EventClock.now(), "unasked", to.number, count);
                drop();
                return;
            }
            try {
                reader.read(bytes, 0, count, EventClock.now());
            } catch (IOException e) {
                Try told = now;
                drop();
                told.broken("odd", false);
            }
        }

        private void answered(Message message) {
            Try told = now;
            now = null;
            used = true;
            if (message.persistent() && plan.clients().keep() && !told.standsIdle) {
                kept.get(to.number).push(this);
            } else if (!told.standsIdle) {
                line.close();
            } else {
                idle.add(this);
            }
            told.answered(message);
        }

        @Override
        public void onClosed(boolean reset) {
            kept.get(to.number).remove(this);
            Try told = now;
            boolean fresh = !reader.isInMessage();
            now = null;
            if (idle.remove(this)) {
                tally.idleLost++;
            }
            if (told != null) {
                told.broken(reset ? "reset" : "closed", used && fresh);
            }
        }

        void drop() {
            kept.get(to.number).remove(this);
            now = null;
            line.close();
        }
    }

    /** One sending of a task by its client, until it has an answer or none can come any more. */
    private final class Try {
        private final Task task;
        private final int number;
        private final FrontProxy.Member to;
        private final boolean standsIdle;
        private final Moment due;
        private final String txn = hex().substring(0, 20);
        private Talk on;
        private XnioExecutor.Key timer;
        private Moment sent;
        private boolean resent;
        private boolean gaveUp;
        private boolean over;

        Try(Task task, int number, FrontProxy.Member to, boolean standsIdle) {
            this.task = task;
            this.number = number;
            this.to = to;
            this.standsIdle = standsIdle;
            due = number == 0 ? task.wanted() : EventClock.now();
        }

        void start() {
            Talk idleOne = standsIdle || !plan.clients().keep() ? null : kept.get(to.number).poll();
            if (idleOne != null) {
                send(idleOne);
                return;
            }
            sendAnew(why -> {
                front.failed(to, EventClock.now());
                ledger.append(EventClock.now(), "unreachable", txn, to.number);
                end(LoadStatistics.End.UNREACHABLE, true, null, -1);
            });
        }

        /** On a connection of its own, if it is still wanted by the time that there is one. */
        private void sendAnew(Unreachable failed) {
            dial(to, c -> {
                Talk fresh = new Talk(to, c);
                if (over) {
                    fresh.drop();
                } else {
                    send(fresh);
                }
            }, failed);
        }

        private FleetPlan.Type type() {
            return plan.types().get(task.what().type());
        }

        private Span patience() {
            return type().expiry().times(plan.clients().patience());
        }

        private void send(Talk talk) {
            Moment now = EventClock.now();
            on = talk;
            if (sent == null) {
                if (!standsIdle && counts(task)) {
                    tally.sent(now.since(zero), now.since(due));
                }
                timer = thread.executeAfter(this::givesUp, Math.max(1, Math.round(patience().millis())),
                        TimeUnit.MILLISECONDS);
                ledger.append(now, "sent", txn, process + "." + task.number(), type().name(),
                        type().effect().name().toLowerCase(Locale.ROOT), to.number, patience().micros(),
                        number);
            }
            sent = now;
            talk.exchange(this, message());
        }

        private byte[] message() {
            FleetPlan.Type t = type();
            StringBuilder body = new StringBuilder(t.body() + 40);
            body.append("work=").append(task.what().work().micros()).append(',').append(t.slots()).append(',')
                    .append(t.memory()).append(';');
            while (body.length() < t.body()) {
                body.append('.');
            }
            StringBuilder head = new StringBuilder(320);
            head.append("POST /api");
            if (task.what().object() >= 0) {
                head.append('/').append(Integer.toHexString(task.what().object()));
            }
            head.append(" HTTP/1.1\r\nHost: fleet\r\nX-Txn: ").append(txn).append("\r\nX-Lane: ")
                    .append(t.name())
                    .append("\r\nX-Remaining: ").append(patience().seconds());
            if (t.effect() == FleetPlan.Type.Effect.FINGERPRINTED) {
                head.append("\r\nIdempotency-Key: ").append(task.key());
            }
            if (number > 0) {
                head.append("\r\nX-Resent: 1");
            }
            head.append("\r\nX-Labels: slots=").append(t.slots()).append(",memory=").append(t.memory())
                    .append("\r\nContent-Length: ").append(body.length()).append("\r\n\r\n").append(body);
            return head.toString().getBytes(StandardCharsets.ISO_8859_1);
        }

        void answered(Message answer) {
            if (over) {
                return;
            }
            Moment now = EventClock.now();
            String result = answer.text();
            int status = answer.status();
            ledger.append(now, "answer", txn, status, status == 200 ? result : "-");
            if (gaveUp) {
                end(LoadStatistics.End.NO_ANSWER, false, null, -1);
            } else if (status == 200) {
                end(LoadStatistics.End.FINISHED, false, null, took(result));
            } else if (status == 429 || status == 503) {
                end(LoadStatistics.End.BOUNCED, true, answer.field("Retry-After"), -1);
            } else {
                end(status >= 500 ? LoadStatistics.End.ABANDONED : LoadStatistics.End.TURNED_DOWN, harmless(),
                        null, -1);
            }
        }

        /** A client may try again what may have run, if its traffic type lets it. */
        private boolean harmless() {
            return type().effect() != FleetPlan.Type.Effect.SIDE_EFFECTING;
        }

        private long took(String result) {
            String tail = result.substring(result.lastIndexOf('/') + 1);
            return tail.matches("\\d{1,12}") ? Long.parseLong(tail) : -1;
        }

        /** Unread: the connection was ended between tasks, and this one crossed that: it goes once more. */
        void broken(String how, boolean unread) {
            if (over) {
                return;
            }
            Moment now = EventClock.now();
            if (unread && !resent && !gaveUp) {
                resent = true;
                ledger.append(now, "crossed", txn, how);
                sendAnew(why -> lost("unreachable"));
                return;
            }
            lost(how);
        }

        private void lost(String how) {
            Moment now = EventClock.now();
            front.failed(to, now);
            ledger.append(now, "broken", txn, how);
            end(LoadStatistics.End.BROKEN, harmless(), null, -1);
        }

        /** The client's time is up. The tool waits a little more, to tell an answer too late from none. */
        private void givesUp() {
            gaveUp = true;
            timer = thread.executeAfter(() -> {
                ledger.append(EventClock.now(), "none", txn);
                end(LoadStatistics.End.NO_ANSWER, harmless(), null, -1);
                if (on != null) {
                    on.drop();
                }
            }, Math.round(LATE_ANSWERS.millis()), TimeUnit.MILLISECONDS);
        }

        private void end(LoadStatistics.End how, boolean mayTryAgain, String comeBack, long took) {
            if (over) {
                return;
            }
            over = true;
            Moment now = EventClock.now();
            if (timer != null) {
                timer.remove();
            }
            if (standsIdle) {
                idleUp.countDown();
                return;
            }
            if (counts(task)) {
                tally.ended(task.what().type(), how, since(now), now.since(due), took);
            }
            if (how == LoadStatistics.End.FINISHED && counts(task)) {
                FleetPlan.Type t = type();
                tally.earns(task.what().type(), since(now), now.since(task.wanted()),
                        t.due().plus(task.what().work().times(t.stretch())));
            } else if (how != LoadStatistics.End.FINISHED && mayTryAgain && number < plan.clients().retries()
                    && !allSent) {
                Span wait = plan.clients().pause().at(chance.nextDouble());
                if (comeBack != null && plan.clients().honourReturn()) {
                    wait = wait.orLonger(seconds(comeBack));
                }
                thread.executeAfter(() -> new Try(task, number + 1,
                        front.pick(task.what().site(), EventClock.now()), false).start(),
                        Math.max(1, Math.round(wait.millis())), TimeUnit.MILLISECONDS);
                return;
            }
            out--;
            if (plan.clients().inHand() > 0) {
                thread.execute(LoadGenerator.this::nextInLoop);
            }
            look();
        }

        private static Span seconds(String text) {
            return text.matches("\\d{1,6}(\\.\\d{1,6})?") ? Span.ofMillis(Double.parseDouble(text) * 1000)
                    : Span.ZERO;
        }
    }

    // ---- what it tells

    /** How it stands, in one line: read by whoever started this process. */
    public String progress() {
        return String.format(Locale.ROOT, "progress %d %d %d %d %.4f %.4f", tally.sent(),
                tally.count(LoadStatistics.End.FINISHED), tally.count(LoadStatistics.End.BOUNCED),
                tally.count(LoadStatistics.End.ABANDONED) + tally.count(LoadStatistics.End.BROKEN)
                        + tally.count(LoadStatistics.End.UNREACHABLE)
                        + tally.count(LoadStatistics.End.NO_ANSWER),
                tally.earnedShare(), tally.lateShare());
    }

    public void write(Path folder) throws IOException {
        tally.write(folder.resolve("load-" + process + ".json"), folder.resolve("load-" + process + ".hlog"));
    }

    public void close() {
        worker.shutdownNow();
    }
}
