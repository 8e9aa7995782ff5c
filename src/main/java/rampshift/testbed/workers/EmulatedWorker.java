package rampshift.testbed.workers;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.wire.FaultyConnection;
import rampshift.testbed.wire.Message;
import rampshift.testbed.wire.MessageReader;
import rampshift.time.Moment;
import rampshift.time.Span;

/** One worker: its machine, and how it speaks our protocol. */
final class EmulatedWorker {
    final String uid;
    final int site;
    final int cell;
    final FleetPlan.Machine kind;
    final WorkerFaults ill = new WorkerFaults();
    final List<Link> links = new ArrayList<>();
    final LoadReports reports;
    private final FleetPlan plan;
    private final IdempotencyKeys[] groups;
    private final FencingTokens tokens;
    private final StallMonitor beat;
    private final XnioIoThread thread;
    private final EventLog ledger;
    private final UniformRandomProvider chance;
    private final Runnable taskCame;
    private final WorkerModel machine;
    private final List<Talk> talks = new ArrayList<>();
    private XnioExecutor.Key look;
    private boolean down;

    /** Groups: for each traffic type, what this worker remembers together with others. */
    EmulatedWorker(String uid, int site, int cell, FleetPlan.Machine kind, FleetPlan plan,
            IdempotencyKeys[] groups,
            FencingTokens tokens, StallMonitor beat, XnioIoThread thread, EventLog ledger,
            UniformRandomProvider chance,
            Runnable taskCame) {
        this.taskCame = taskCame;
        this.uid = uid;
        this.site = site;
        this.cell = cell;
        this.kind = kind;
        this.plan = plan;
        this.groups = groups;
        this.tokens = tokens;
        this.beat = beat;
        this.thread = thread;
        this.ledger = ledger;
        this.chance = chance;
        reports = new LoadReports(plan.reports());
        machine = new WorkerModel(kind, plan.workers().inOrder(), plan.cold(), EventClock.now(), null);
    }

    Moment born() {
        return machine.born();
    }

    boolean down() {
        return down;
    }

    /** As lists tell it: lowered while it holds much, where the plan says so. */
    double weight() {
        return plan.roster().liveWeights()
                ? machine.nominal() * kind.slots() / (kind.slots() + machine.held())
                : machine.nominal();
    }

    /** A dispatcher has opened a connection. */
    void opened(Link link, StreamConnection connection) {
        Talk talk = new Talk(link, connection);
        talks.add(talk);
        link.add(talk.line);
        talk.line.start();
    }

    // ---- troubles

    /** Sets its speed from what is wrong with it. */
    void changed() {
        Moment now = EventClock.now();
        machine.factor(ill.speed, now);
        machine.stand(ill.hangs, now);
        work();
    }

    void crash() {
        down = true;
        machine.restart(EventClock.now());
        links.forEach(Link::shut);      // it resets what it still knows, so before that is forgotten
        for (Talk talk : new ArrayList<>(talks)) {
            talk.forget();
        }
    }

    void comeBack() {
        down = false;
        machine.restart(EventClock.now());
        ledger.append(EventClock.now(), "boot", uid, "cold");
        links.forEach(Link::open);
        work();
    }

    // ---- its work

    private void work() {
        Moment now = EventClock.now();
        machine.advance(now);
        for (Job job = machine.nextBegun(); job != null; job = machine.nextBegun()) {
            begins(job, now);
        }
        for (Job job = machine.nextDone(); job != null; job = machine.nextDone()) {
            Talk talk = talkOf(job);
            if (talk != null) {
                talk.done(now);
            }
        }
        if (look != null) {
            look.remove();
            look = null;
        }
        Moment next = machine.nextLook();
        if (next != null) {
            look = thread.executeAfter(() -> {
                look = null;
                work();
            }, Math.max(0, next.since(now).micros() + 999) / 1000, TimeUnit.MILLISECONDS);
        }
    }

    private Talk talkOf(Job job) {
        for (Talk talk : talks) {
            if (talk.job == job) {
                return talk;
            }
        }
        return null;
    }

    private void begins(Job job, Moment now) {
        FleetPlan.Type type = plan.types().get(job.type);
        boolean repeat = type.effect() == FleetPlan.Type.Effect.FINGERPRINTED
                && groups[job.type].repeat(job.key, type.window(), now);
        if (!repeat && job.lease != null) {
            repeat = !tokens.take(job.lease, job.token);
            ledger.append(now, repeat ? "refused" : "effect", job.lease, job.token, uid, job.txn, job.key,
                    type.effect().name().toLowerCase(java.util.Locale.ROOT));
        } else {
            ledger.append(now, repeat ? "dropped" : "began", uid, job.txn, job.key, type.name());
        }
        Talk talk = talkOf(job);
        if (talk == null) {
            return;
        }
        if (repeat) {
            job.left = 1;
        }
        if (hit(ill.resetAfter)) {
            machine.remove(job, now);
            talk.line.reset();
            talk.forget();
        } else if (hit(ill.errors)) {
            machine.remove(job, now);
            talk.errs(now);
        } else if (plan.workers().tellsStart()) {
            talk.note("\"started\"");
            talk.progressLater();
        }
    }

    private boolean hit(double share) {
        return share > 0 && chance.nextDouble() < share;
    }

    private final class Talk implements FaultyConnection.Listener {
        final Link link;
        final FaultyConnection line;
        private final MessageReader reader = new MessageReader(this::message);
        private Job job;
        private Moment tookAt;
        private Moment idleSince = EventClock.now();
        private boolean answering;
        private boolean first = true;
        private boolean silent;
        private XnioExecutor.Key progress;
        private XnioExecutor.Key idle;

        Talk(Link link, StreamConnection connection) {
            this.link = link;
            line = new FaultyConnection(connection, thread, this);
            line.setDelay(link.crossing());
            idleLater();
        }

        @Override
        public void onBytes(byte[] bytes, int count) {
            Moment now = EventClock.now();
            boolean begins = !reader.isInMessage();
            if (begins && hit(ill.resetBefore)) {
                ledger.append(now, "part", uid, link.dispatcher);
                line.reset();
                forget();
                return;
            }
            try {
                reader.read(bytes, 0, count, beat.earliest(line.earliestSendTime()));
            } catch (IOException e) {
                ledger.append(now, "odd", uid, link.dispatcher);
                line.close();
                forget();
            }
        }

        private void message(Message message) {
            Moment now = EventClock.now();
            idleSince = now;
            if (message.method().equals("GET")) {
                page(message, now);
                return;
            }
            Span wait = first ? plan.workers().connectionCost() : Span.ZERO;
            first = false;
            if (wait.micros() > 0) {
                thread.executeAfter(() -> {
                    if (!line.isClosed()) {
                        task(message, EventClock.now());
                    }
                }, Math.max(1, Math.round(wait.millis())), TimeUnit.MILLISECONDS);
            } else {
                task(message, now);
            }
        }

        private void page(Message message, Moment now) {
            if (ill.hangs) {
                return;
            }
            String report = reports.now(machine, now);
            ledger.append(now, "probe", uid, link.dispatcher);
            if (message.target().equals("/status/load") || message.target().equals("/health")) {
                String body = message.target().equals("/health") || report == null ? "" : report;
                line.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            } else {
                line.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            }
        }

        private void task(Message message, Moment now) {
            String txn = message.field("X-Txn");
            Job came = job(message, txn);
            if (came == null || job != null) {
                ledger.append(now, "odd", uid, link.dispatcher);
                line.write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            ledger.append(now, "took", uid, link.dispatcher, txn, came.key,
                    plan.types().get(came.type).name(),
                    message.startedAt().micros(), machine.cold() ? "cold" : "warm");
            if (came.lease != null) {
                ledger.append(now, "acted", txn);
            }
            taskCame.run();
            tookAt = now;
            answering = false;
            silent = hit(ill.silent);
            line.setByteInterval(ill.drip);
            job = came;
            boolean fell = machine.fallen();
            if (machine.offer(came, now)) {
                work();
                return;
            }
            job = null;
            if (machine.fallen() && !fell) {
                ledger.append(now, "fell", uid);
                crash();
            } else {
                turnAway(came, now);
            }
        }

        private void turnAway(Job came, Moment now) {
            ledger.append(now, "away", uid, came.txn);
            String report =
                    plan.reports().how() == FleetPlan.Reports.How.INLINE ? reports.now(machine, now) : null;
            line.write("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\n"
                    + (report == null ? "" : "X-Pressure: " + report + "\r\n") + "Content-Length: 0\r\n\r\n");
        }

        private Job job(Message message, String txn) {
            String name = message.field("X-Lane");
            int type = -1;
            for (int i = 0; i < plan.types().size(); i++) {
                type = plan.types().get(i).name().equals(name) ? i : type;
            }
            String body = message.text();
            int end = body.indexOf(';');
            if (txn == null || type < 0 || !body.startsWith("work=") || end < 0) {
                return null;
            }
            String key = message.field("Idempotency-Key");
            try {
                String[] figures = body.substring(5, end).split(",");
                String[] under = message.field("Rampshift-Token") == null ? null
                        : message.field("Rampshift-Token").split(" ");
                return new Job(txn, key == null ? "-" : key, type, new Span(Long.parseLong(figures[0])),
                        Double.parseDouble(figures[1]), Double.parseDouble(figures[2]),
                        under == null ? null : under[0],
                        under == null ? 0 : Long.parseLong(under[1]));
            } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
                return null;
            }
        }

        // ---- its answer

        private void begin() {
            if (!answering) {
                answering = true;
                send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            }
        }

        private void send(String text) {
            if (!silent) {
                line.write(text);
            }
        }

        void note(String state) {
            begin();
            send(chunk("{\"id\":\"" + job.txn + "\",\"from\":\"" + uid + "\",\"state\":" + state + "}\n"));
        }

        private static String chunk(String text) {
            return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n";
        }

        void progressLater() {
            Span every = plan.workers().progress();
            if (every.micros() > 0) {
                progress = thread.executeAfter(() -> {
                    if (job != null && !line.isClosed()) {
                        if (!ill.hangs) {
                            machine.advance(EventClock.now());
                            note("\"running\",\"share\":" + Math.round(job.share() * 1000) / 1000.0);
                        }
                        progressLater();
                    }
                }, Math.max(1, Math.round(every.millis())), TimeUnit.MILLISECONDS);
            }
        }

        private String load(Moment now) {
            String report =
                    plan.reports().how() == FleetPlan.Reports.How.INLINE ? reports.now(machine, now) : null;
            return report == null ? "" : ",\"load\":" + report;
        }

        void errs(Moment now) {
            ledger.append(now, "erred", uid, job.txn);
            if (answering) {
                note("\"failed\"" + load(now));
                send("0\r\n\r\n");
            } else {
                send("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
            }
            over(now);
        }

        /**
         * The result says who made it, and how long it took here: what is added can be told from what is
         * work.
         */
        void done(Moment now) {
            String result = uid + "/" + job.txn + "/" + now.since(tookAt).micros();
            ledger.append(now, "done", uid, job.txn, result);
            begin();
            String last = chunk(
                    "{\"id\":\"" + job.txn + "\",\"from\":\"" + uid + "\",\"state\":\"done\"" + load(now)
                            + ",\"result\":\"" + result + "\"}\n")
                    + "0\r\n\r\n";
            if (hit(ill.resetWithin)) {
                send(last.substring(0, last.length() / 2));
                job = null;
                thread.executeAfter(() -> {
                    line.reset();
                    forget();
                }, 2, TimeUnit.MILLISECONDS);
                return;
            }
            if (hit(ill.halfAnswers)) {
                send(last.substring(0, last.length() / 2));
                line.closeAfterWrites();
                over(now);
                return;
            }
            send(last);
            over(now);
        }

        private void over(Moment now) {
            job = null;
            answering = false;
            idleSince = now;
            if (progress != null) {
                progress.remove();
            }
        }

        // ---- its end

        private void idleLater() {
            Span most = plan.workers().idle();
            idle = thread.executeAfter(() -> {
                if (job == null && !reader.isInMessage()
                        && !most.longerThan(EventClock.now().since(idleSince))) {
                    line.close();
                    forget();
                } else {
                    idleLater();
                }
            }, Math.max(1, Math.round(most.millis() / 2)), TimeUnit.MILLISECONDS);
        }

        @Override
        public void onClosed(boolean reset) {
            Job had = job;
            forget();
            if (had != null) {
                ledger.append(EventClock.now(), "off", uid, had.txn, had.begun ? "begun" : "unbegun");
                if (!had.begun || plan.workers().stops()) {
                    machine.remove(had, EventClock.now());
                }
                work();
            }
        }

        /** The one place where a connection's timers and its place in the link are given back. */
        void forget() {
            link.remove(line);
            talks.remove(this);
            if (progress != null) {
                progress.remove();
            }
            idle.remove();
            job = null;
        }
    }

    void close() {
        if (look != null) {
            look.remove();
        }
        for (Talk talk : new ArrayList<>(talks)) {
            talk.line.close();
            talk.forget();
        }
        links.forEach(Link::close);
    }
}
