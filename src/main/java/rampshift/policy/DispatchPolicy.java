package rampshift.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * The one decision module: where a task goes, when it goes again, when it is bounced or abandoned.
 *
 * How it is called: the host sets the clock, reports what it heard through the input calls (they only
 * update what is known), then calls next(out) until it is false; each call that is true made one call on
 * out. Interface: inputs are the public methods here, answers are Decisions, figures given are Settings.
 * The mechanism is Redundant-to-Idle-Queue; docs/design.md tells what was kept, changed and why.
 */
public final class DispatchPolicy {
    private static final int D = 6;                     // drawn: half of the own zone, half from elsewhere
    private static final int KEPT = 3;                  // more: those to which a connection is free
    private static final int ONCE_MORE = 3;             // times as many drawn where a task is placed once
    private static final int ASK = 2;                   // candidates tested at a time
    private static final int DRAWS = 3;                 // draws until one is left for a bounce
    private static final double EXTRA_SENDS = 0.2;      // copies and rescues, per first send
    private static final double CHEAP_WASTE = 0.05;     // at a higher price a copy counts as several
    private static final double QUEUE_PRICE = 0.1;      // extra sends: a place in a queue nobody reports
    private static final double MOST_SAVED = 10;        // extra sends that may be saved up
    private static final double RESCUE_RESERVE = 2;     // extra sends that copies leave to rescues
    private static final double TAKE_AT = 0.25;         // how likely in time, and the more the tail counts
    private static final double RUN_SPREAD = 0.2;       // how far a prediction is off, in running times
    private static final double WAIT_SPREAD = 0.5;      // and in predicted waits
    private static final double GOOD = 0.5;             // of the earnings: an idle candidate that will do
    private static final double BY_VALUE = 6;           // power of its part of the earnings, in the chance
    private static final double FRESH_FOR = 1.0;        // mean runs that a word counts as a probe's answer
    private static final double OLD_SAY = 0.15;         // that it keeps at any age
    private static final int FEW = 3;                   // reports before a worker's own tell its room
    private static final double AGES = 2;               // mean runs in which a report loses most of its say
    private static final double PROBE_WAIT = 0.1;
    private static final double QUEUE_COST = 4;         // mean earnings a mean run, were all wait for ever
    private static final double KIN_AGES = 4;           // mean runs in which starts lose most of their say
    private static final double KIN_SAY = 0.3;          // of the kind's starts, among a worker's own
    private static final double FULL_WAIT = 4;          // mean runs: the wait that an answer "full" tells
    private static final double START_BY = 0.15;         // of the due time: not begun by then, it queues
    private static final double RESUBSCRIBE = 0.2;      // of the ask-within span, give or take half
    private static final double FADE = 16;              // mean runs in which a lost type is mostly forgotten
    private static final double BAD_SHARE = 0.3;        // of the last outcomes: a worker is set aside
    private static final int BAD_LEAST = 2;
    private static final double SILENCE = 4;            // predicted spans without a word
    private static final double CUT = 4;                // mean runs until a zone cut off is tried again
    private static final double FAR_MORE = 2;           // times
    private static final int RESTORED = 8;              // tasks at once at which a trickle has grown up
    private static final double OVERDUE = 2;            // runs after which a running task counts as slow
    private static final double LEAVE_ROOM = 4;         // power of how much fuller bound types' places are
    private static final double COLD_RUSH = 2.5;        // times the stated multiple, if all took it
    private static final double COLD_SHARE = 0.5;       // of the stated multiple that is ever used

    private static final EnumSet<AttemptOutcome> BAD =
            EnumSet.of(AttemptOutcome.ERRED, AttemptOutcome.NO_CONNECTION, AttemptOutcome.BROKEN,
                    AttemptOutcome.TIMED_OUT);

    private final Settings settings;
    private final SeededRandom chance;
    private Moment now;
    private final Map<Long, Task> tasks = new HashMap<>();         // looked up, never walked
    private final WorkerTable roster;
    private final IdleConnections kept;
    private final ArrayDeque<Task> todo = new ArrayDeque<>();
    private final ArrayDeque<Attempt> toCancel = new ArrayDeque<>();
    private final TimerQueue timers = new TimerQueue();
    private Moment armed;
    private final SampleWindow[] work;                                  // running times by traffic type
    private final TenantQuotas tenants;
    private final SampleWindow anyWork = new SampleWindow(64);
    private final SampleWindow[] fleetLoad = SampleWindow.rows(2, 64);       // of room, own side and elsewhere
    private final SampleWindow[] placeLoad = SampleWindow.rows(2, 64);       // the same: 1 where bound types run
    private final SampleWindow earningsAsked = new SampleWindow(64);
    private final SampleWindow dues = new SampleWindow(64);
    private final SampleWindow cameLate = new SampleWindow(32);              // 1: by the time it had left
    private final SampleWindow turnedAway = new SampleWindow(32);            // 1: given up though it came in time
    private final SampleWindow elsewhere = new SampleWindow(2);              // 1: no connection to another zone
    private Moment cutUntil;
    private Moment surveyAt;
    private boolean distrust;
    private double luck;                // of the task being placed: what is trusted less is not read
    private final DecayingSamples again = new DecayingSamples(16);        // 1: a task that erred did so at the next worker too
    private final DecayingSamples begins = new DecayingSamples(32);       // from the first send of a task to its start
    private double coldPart;            // what cold workers can do, of the whole fleet when warm
    private double coldCredit;          // mean runs that may go to cold workers
    private double coldOdds;            // in this draw, times their warmth
    private final DecayingSamples accepted = new DecayingSamples(32);     // 0: turned away as full
    private double extraSends = 1;
    private final RetryBudget budget;
    private final double takeAt;
    private final double copyPrice;     // a copy that runs is waste, a second place in a queue is not
    private Moment subscribeAt;
    private Moment holdFrom;            // what the list service has may bind from then on: a list is awaited
    private final ArrayDeque<Task> held = new ArrayDeque<>();

    public DispatchPolicy(Settings settings, Moment now) {
        this.settings = settings;
        this.now = now;
        takeAt = TAKE_AT + settings.tailWeight;
        copyPrice = Math.max(1, settings.wastePrice / CHEAP_WASTE);
        chance = new SeededRandom(settings.seed);
        budget = new RetryBudget(settings);
        kept = new IdleConnections(settings);
        roster = new WorkerTable(settings.zone, settings.types, this::allows);
        work = SampleWindow.rows(settings.types.size(), 32);
        tenants = new TenantQuotas(settings);
        if (settings.listOnRequest) {
            subscribeAt = now;
            timers.set(now, null);
        }
    }

    // ---------------------------------------------------------------- inputs: what is known

    public void setNow(Moment now) {
        this.now = now;
    }

    /**
     * What the list service has counts as told already, longSince or from now: once the grace is over nothing
     * goes by the old list until the next, or word that none comes (FAILED). Met when a whole fleet restarts;
     * covers any change of the list's source. Harm: a silent source delays all tasks.
     */
    public void onEndpointListAwaited(boolean longSince) {
        holdFrom = longSince ? now : now.plus(settings.drainGrace);
    }

    public void onEndpointListBegin(EndpointListKind kind) {
        holdFrom = null;
        if (kind == EndpointListKind.WHOLE || kind == EndpointListKind.CACHED) {
            roster.beginWhole();
        }
        if (kind == EndpointListKind.FAILED) {
            // Spaced out and scattered, so that a restart of all dispatchers does not drown the list service.
            subscribeAt = now.plus(settings.askWithin.times(RESUBSCRIBE * (0.5 + chance.next())));
            timers.set(subscribeAt, null);
        }
    }

    public void onEndpoint(ListedWorker entry) {
        Worker w = roster.put(entry.id(), entry.zone(), entry.cell(), entry.kind(), entry.state(),
                entry.startedAt());
        double weight = entry.weight();
        w.needed = settings.types.stream().anyMatch(y -> y.bound() && allows(y, w));
        w.kin.size = Math.max(w.kin.size, weight);
        if (settings.liveWeights && weight > 0 && w.kin.room.count() > 0) {
            // The size over 1 + what is held a core: a report of every worker, the same for all dispatchers.
            held(w, (w.kin.size / weight - 1) * room(w));
        }
    }

    public void onEndpointListEnd() {
        roster.end();
        held.forEach(this::queue);
        held.clear();
    }

    public void onTaskArrived(long id, TaskRequest request) {
        int type = request.type();
        Span hint = request.runHint();
        TrafficType row = settings.types.get(type);
        Moment expiry = now.plus(request.patience());
        Moment first = expiry.minus(row.expiry()).orEarlier(now);
        Task t = new Task(id, row, type, hint, Math.max(request.slots(), 1), request.memory(), first, expiry);
        tasks.put(id, t);
        if (hint.micros() > 0) {
            anyWork.put(hint.millis());     // every arrival tells, not only the few that finished here
        }
        budget.taken(now);
        t.excess = tenants.arrived(request.tenant(), now);
        // Late by the time left: a retry, or a client of little patience. Where far more come so than were
        // turned away they are no retries; bounced as hopeless, two thirds of the tasks were lost.
        t.late = allowed(t).micros() < 0;
        t.firstAt = t.late && cameLate.mean(0) > FAR_MORE * turnedAway.mean(0) ? now : first;
        cameLate.put(t.late ? 1 : 0);
        earningsAsked.put(earnings(t));
        dues.put(row.due().millis());
        queue(t);
        timers.set(expiry.minus(settings.tick.times(2)), t);
    }

    public void onAttemptStarted(long id, int number) {
        Attempt a = assignment(id, number);
        if (a != null && a.begunAt == null) {
            a.begunAt = now;
            word(a.worker);
            believe(a, true);
            roster.zone(a.worker.zone).reached.put(now, 1);
            if (!settings.reportsLoad) {
                startTells(a);
            }
            for (Attempt o : a.task.sent) {
                if (o.begunAt == null) {
                    callOff(o);     // one has begun: what still queues elsewhere is not needed
                }
            }
        }
    }

    /** Where nothing is reported a start tells of the queue there, and of what runs beside it. */
    private void startTells(Attempt a) {
        waited(a, now.since(a.sentAt).millis());
        a.worker.kin.room.put(a.worker.begunWidth());
        Moment first = a.task.sent.get(0).sentAt;
        if (mayGoOn(a.task) && a.task.sent.stream().noneMatch(o -> o != a && o.begunAt != null)) {
            // As old as the queue that it tells of. Tasks bound to a few workers don't count: with
            // their waits alone 89 in 100 tasks were bounced by a fleet half idle.
            begins.put(first, now.since(first).millis());
        }
    }

    /** A worker said to be idle began soon, or did not: reports are late, or many rush to the same. */
    private void believe(Attempt a, boolean soon) {
        if (a.saidIdle) {
            a.saidIdle = false;
            a.worker.reportsHeld.put(now, soon ? 1 : 0);
            roster.zone(a.worker.zone).reportsHeld.put(now, soon ? 1 : 0);
        }
    }

    /**
     * How likely a worker's reports are to hold, by the assignments that they promised an idle slot, and by
     * its zone's. Covers late, low, stuck and zero ones, and rushes to the same worker; fades as they agree
     * again. Harm: one that others rush to is looked at less, as if it lied.
     */
    private double trust(Worker w) {
        Span fade = meanWork().times(FADE);
        double zone = roster.zone(w.zone).reportsHeld.mean(now, fade, 1, OLD_SAY);
        return w.reportsHeld.mean(now, fade, zone, KIN_SAY);
    }

    public void onAttemptProgress(long id, int number, double share) {
        Attempt a = assignment(id, number);
        if (a != null) {
            if (a.begunAt == null) {    // its start was not told: the first note comes so long after it
                Moment from = now.minus(settings.progressEvery);
                a.begunAt = from.before(a.sentAt) ? a.sentAt : from;
            }
            a.progress = share;
            a.progressAt = now;
            word(a.worker);
        }
    }

    public void onLoadReport(long id, double free, double queued, double held, double memoryFree) {
        Worker w = roster.get(id);
        if (w == null) {
            return;
        }
        w.reported(free, held, memoryFree);
        double all = !Double.isNaN(held) ? held
                : !Double.isNaN(free) ? room(w) - free + (Double.isNaN(queued) ? 0 : queued)
                        : Double.isNaN(queued) ? 0 : queued;
        held(w, all);
    }

    private void held(Worker w, double all) {
        if (w.othersAt == null || now.since(w.othersAt).longerThan(meanWork().times(0.5))) {
            double others = Math.max(0, all - w.ownWidth());
            w.sawOthers(now, others);
            fleetLoad[w.zone == settings.zone ? 0 : 1].put(others / room(w));
            placeLoad[w.needed ? 1 : 0].put(others / room(w));
        }
    }

    public void onProbeResult(long id, boolean answered) {
        Worker w = roster.get(id);
        if (w == null) {
            return;
        }
        w.probeSilent = !answered;
        if (answered) {
            word(w);
        }
        for (Task t : w.asking) {
            if (--t.echoesDue == 0) {
                queue(t);
            }
        }
        w.asking.clear();
    }

    public void onAttemptFinished(long id, int number, AttemptOutcome outcome, boolean terminal) {
        Attempt a = assignment(id, number);
        if (a == null || a.ended) {
            return;
        }
        Task t = a.task;
        Worker w = a.worker;
        a.end(outcome.neverRan);
        if (outcome.neverRan) {
            earnColdCredit(-a.coldCredit);
        }
        if (outcome == AttemptOutcome.NOT_SENT) {
            budget.neverSent(a);
        } else if (outcome != AttemptOutcome.CALLED_OFF && outcome != AttemptOutcome.NO_CONNECTION) {
            accepted.put(now, outcome == AttemptOutcome.FULL ? 0 : 1);
        }
        if (outcome == AttemptOutcome.FULL) {
            w.fullAt = now;
            believe(a, false);
            waited(a, meanWork().times(FULL_WAIT).millis());
        }
        if (w.zone != settings.zone
                && (outcome == AttemptOutcome.FINISHED || outcome == AttemptOutcome.NO_CONNECTION)) {
            // Two in a row elsewhere without a connection: the zone is cut off, not each of its workers sick.
            elsewhere.put(outcome == AttemptOutcome.FINISHED ? 0 : 1);
            cutUntil = elsewhere.sum() == 2 ? now.plus(meanWork().times(CUT)) : null;
        }
        if (outcome == AttemptOutcome.FINISHED) {
            finished(a);
        } else if (outcome == AttemptOutcome.ERRED) {
            erred(a);
        } else if (BAD.contains(outcome)) {
            judge(w, 1);
            if (w.gone && w.ready) {
                roster.ready(w, false);
            }
        }
        if (outcome == AttemptOutcome.FINISHED || outcome == AttemptOutcome.ERRED
                || outcome == AttemptOutcome.FULL) {
            word(w);
            kept.freed(w, now);
        }
        if (terminal) {
            turnedAway.put(0);
        }
        if (terminal || t.closed) {
            close(t);
        } else if (t.open == 0) {
            t.newDraw();
            queue(t);
        }
    }

    public void onClientGone(long id) {
        Task t = tasks.get(id);
        if (t != null) {
            close(t);
        }
    }

    /** Its dispatcher ends: it is given up now, as at its expiry. */
    public void onShutdown(long id) {
        Task t = tasks.get(id);
        if (t != null && !t.closed) {
            t.expiry = now;
            queue(t);
        }
    }

    public void onTimer() {
        armed = null;
    }

    private Attempt assignment(long id, int number) {
        Task t = tasks.get(id);
        return t == null || number < 0 || number >= t.sent.size() ? null : t.sent.get(number);
    }

    private void word(Worker w) {
        w.lastWord = now;
        w.probeSilent = false;
        if (settings.onlyDrainingBinds && w.gone && !w.ready) {
            roster.ready(w, true);      // rule 6: the list's word loses against its own
        }
    }

    private void finished(Attempt a) {
        Worker w = a.worker;
        Span ran = now.since(began(a) != null ? began(a) : a.sentAt);
        if (began(a) != null) {
            // First, so that a type's first task does not make its worker look many times as fast or slow.
            work[a.task.typeNumber].put(ran.millis());
            if (a.task.hint.micros() == 0) {
                anyWork.put(ran.millis());
            }
        }
        w.sawRun(work(a.task).millis(), Math.max(ran.millis(), settings.tick.millis() / 2), warmth(w) >= 1);
        w.lostAt.remove(a.task.typeNumber);
        believe(a, true);       // it was not late meanwhile; where starts are not told nothing else tells
        judge(w, 0);
        if (a.task.erredAt != null && a.task.erredAt != w) {
            again.put(now, 0);
        }
    }

    /**
     * The worker's doing or the task's? Those that went on tell: while most err at the next too, errors
     * are the tasks', whatever they share: such go nowhere else, and workers keep their name. This fades,
     * and the next is tried again. Harm: many workers that err at once look the same.
     */
    private void erred(Attempt a) {
        Task t = a.task;
        if (t.erredAt != null && t.erredAt != a.worker) {
            again.put(now, 1);
            judge(t.erredAt, 0);
        } else {
            judge(a.worker, 1 - errsAgain());
        }
        t.erredAt = a.worker;
    }

    /** How likely a task that erred is to do so at any other worker. */
    private double errsAgain() {
        return again.mean(now, meanWork().times(KIN_AGES), 0, OLD_SAY);
    }

    /** Sets a worker aside, or lets its trickle grow: it doubles while it goes well. */
    private void judge(Worker w, double bad) {
        w.bad.put(bad);
        boolean wasBad = bad > 0.5;
        if (w.trickle > 0 && (wasBad || bad == 0)) {
            w.trickle = wasBad ? 1 : w.trickle * 2;
            w.trickleFrom = wasBad ? now.plus(meanWork().times(OVERDUE)) : now;
            if (w.trickle >= RESTORED) {
                w.trickle = 0;
                w.bad.clear();
            }
        } else if (w.trickle == 0 && w.bad.sum() >= BAD_LEAST && w.bad.mean(0) >= BAD_SHARE) {
            w.trickle = 1;
            w.trickleFrom = now.plus(meanWork().times(OVERDUE));
        }
    }

    /** When it began to run, or where starts are not told should have; null where they are, and not its. */
    private Moment began(Attempt a) {
        return a.begunAt != null || settings.tellsStart ? a.begunAt : a.sentAt.plus(a.wait);
    }

    /** A final answer was given, or is no longer owed: what is still out is called off. */
    private void close(Task t) {
        t.closed = true;
        t.copies.clear();
        for (Attempt a : t.sent) {
            callOff(a);
        }
        if (t.open == 0) {
            tasks.remove(t.id);
        }
    }

    private void callOff(Attempt a) {
        if (!a.ended && !a.calledOff && settings.mayCancel) {
            a.calledOff = true;
            toCancel.add(a);
            if (a.begunAt == null && now.since(a.sentAt).longerThan(patience(a))) {
                waited(a, now.since(a.sentAt).millis());
            }
        }
    }

    /** It began after so long, or had not by then, which tells as much. */
    private void waited(Attempt a, double ms) {
        if (settings.reportsLoad) {
            return;
        }
        a.worker.starts.put(now, ms);
        a.worker.kin.starts.put(now, ms);
    }

    private void queue(Task t) {
        if (!t.waiting) {
            t.waiting = true;
            todo.add(t);
        }
    }

    private Span meanWork() {
        return Span.ofMillis(anyWork.mean(settings.types.get(0).due().millis()));
    }

    /** What the task is expected to run on a middling worker. */
    private Span work(Task t) {
        return t.hint.micros() > 0 ? t.hint
                : Span.ofMillis(work[t.typeNumber].mean(t.type.due().millis()));
    }

    private double warmth(Worker w) {
        Span age = now.since(w.bornAt);
        if (w.bornAt.micros() <= 0 || !settings.coldFor.longerThan(age)) {
            return 1;
        }
        return settings.coldFrom + (1 - settings.coldFrom) * Math.max(0, age.over(settings.coldFor));
    }

    /** Expected over actual running times, running tasks that are overdue included. */
    private double speed(Worker w) {
        double prior = meanWork().millis();
        double kin = (w.kin.expected.sum() + prior) / (w.kin.ran.sum() + prior);
        double expected = w.expected.sum() + prior * kin;
        double ran = w.ran.sum() + prior / warmth(w);
        double own = w.expected.count() == 0 ? kin * warmth(w) : w.expected.sum() / w.ran.sum();
        for (Attempt a : w.out) {
            if (began(a) != null && !a.calledOff && !a.lost) {
                double due = work(a.task).millis();
                double age = now.since(began(a)).millis();
                double will = a.progress > 0 ? a.progressAt.since(a.begunAt).millis() / a.progress : age;
                if (Math.max(will, age) > OVERDUE * due / own) {
                    expected += due;
                    ran += Math.max(will, age);
                }
            }
        }
        return expected / ran;
    }

    private Span run(Worker w, Task t) {
        return work(t).times(1 / speed(w));
    }

    private double size(Worker w) {
        return w.kin.size > 0 ? w.kin.size : 1;
    }

    private double room(Worker w) {
        // Few reports of its own yet: others of its kind tell, or the weight in the list.
        double begun = w.begunWidth();
        double seen = !settings.reportsLoad ? w.kin.room.max(1)
                : w.kin.room.count() == 0 ? Math.max(begun + (w.out.isEmpty() ? 1 : 0), w.kin.size)
                        : !w.roomTold ? Math.max(w.room.max(1), w.kin.room.max(1))
                                : w.room.count() < FEW ? w.kin.room.mean(1) : w.room.mean(1);
        return Math.max(1, Math.max(Math.rint(seen), begun));
    }

    private double held(Worker w) {
        // A report loses its say as it ages: without a recent one the worker counts as loaded like the rest.
        Span fade = meanWork().times(AGES);
        double weight = 0.1;
        double sum = weight * fleetLoad[w.zone == settings.zone ? 0 : 1].mean(0) * room(w);
        int read = luck <= trust(w) ? w.others.count() : 0;
        for (int i = 0; i < read; i++) {
            double say = OLD_SAY + w.others.say(i, now, fade);
            weight += say;
            sum += say * w.others.get(i);
        }
        return w.ownWidth() + sum / weight;
    }

    /** Nothing is reported: what the last start notes say of the wait there, the kind's where it has few. */
    private double startWait(Worker w) {
        double kin = w.kin.starts.mean(now, meanWork().times(KIN_AGES), 0, OLD_SAY);
        return w.starts.mean(now, meanWork().times(AGES), kin, KIN_SAY);
    }

    /** How long a task of this width is expected to wait there before it begins. */
    private Span wait(Worker w, double width) {
        double room = room(w);
        double over = held(w) + width - room;
        Span wait = over <= 0 ? Span.ZERO : meanWork().times(over / room / speed(w));
        if (!settings.reportsLoad) {
            wait = wait.orLonger(Span.ofMillis(startWait(w)));
        }
        if (settings.tellsStart) {
            // An assignment that has not begun shows the queue there, or a worker that hangs or is cut off.
            for (Attempt a : w.out) {
                if (a.begunAt == null && !a.calledOff && !a.lost) {
                    wait = wait.orLonger(now.since(a.sentAt));
                }
            }
        }
        return wait;
    }

    /** Not heard from, or not believed: idle with the odds of the others, so that it draws no herd. */
    private boolean idle(Worker w, Task t) {
        if (believed(w)) {
            return heardIdle(w, t);
        }
        int heard = 0, idle = 0;
        for (Worker o : t.drawn) {
            heard += believed(o) ? 1 : 0;
            idle += believed(o) && heardIdle(o, t) ? 1 : 0;
        }
        boolean room = w.out.isEmpty() || w.heard() && w.ownWidth() + t.width <= room(w);
        return !w.probeSilent && room && t.luck * heard <= idle;
    }

    private boolean believed(Worker w) {
        return w.heard() && luck <= trust(w);
    }

    private boolean heardIdle(Worker w, Task t) {
        if (w.reported) {
            return !w.probeSilent && held(w) + t.width <= room(w) + 0.25 && !(w.memoryFree < t.memory);
        }
        if (settings.reportsLoad) {
            return !w.probeSilent && w.out.isEmpty() && (w.fullAt == null || w.fullAt.before(w.lastWord));
        }
        return !w.probeSilent && w.ownWidth() + t.width <= room(w) + 0.25
                && !wait(w, t.width).longerThan(t.type.due().times(START_BY).plus(settings.tick));
    }

    private Span allowed(Task t) {
        Moment due = t.firstAt.plus(t.type.due()).plus(work(t).times(t.type.stretch()));
        return due.orEarlier(t.expiry).since(now);
    }

    private double earnings(Task t) {
        boolean byWork = settings.earningsByWork && t.hint.micros() > 0;
        return t.type.earnings() * (byWork ? work(t).over(meanWork()) : 1) * (1 - t.excess);
    }

    /** How likely it is to end in time. With little time left it may run what any of its type's last ran. */
    private double inTime(Task t, Span wait, Span run) {
        SampleWindow ran = work[t.typeNumber];
        Span left = allowed(t);
        if (!t.late || t.hint.micros() > 0 || ran.count() < FEW) {
            return inTime(left, wait, run);
        }
        double slower = run.over(work(t));
        double sum = 0;
        for (int i = 0; i < ran.count(); i++) {
            sum += inTime(left, wait, Span.ofMillis(ran.get(i) * slower));
        }
        return sum / ran.count();
    }

    private double inTime(Span left, Span wait, Span run) {
        Span blur = run.times(RUN_SPREAD).plus(wait.times(WAIT_SPREAD)).orLonger(settings.tick);
        return 1 / (1 + Math.exp(-left.minus(wait).minus(run).over(blur)));
    }

    /** A way that loses is between the zones: nobody there is to blame, and where all wait it is no loss. */
    private double reached(int zone) {
        return roster.zone(zone).reached.mean(now, meanWork().times(FADE), 1, OLD_SAY);
    }

    /** The earnings to be expected from sending the task there now, less the price of crossing. */
    private double value(Task t, Worker w) {
        Span wait = wait(w, t.width);
        Span run = run(w, t);
        double inTime = inTime(t, wait, run);
        Span end = wait.plus(run);
        double well = 1 - w.bad.sum() / (w.bad.count() + 2);
        Moment lost = w.lostAt.get(t.typeNumber);
        well *= Math.min(1, reached(w.zone) / reached(settings.zone));
        well *= lost == null ? 1 : 1 - Math.exp(-now.since(lost).over(meanWork().times(FADE)));
        double late = t.expiry.since(now).longerThan(end) ? t.type.lateEarnings() : 0;
        double cross = earningsAsked.mean(1) * ((w.zone == settings.zone ? 0 : settings.crossingPrice)
                + (w.keeps(now, settings.connectionIdle) ? 0 : settings.handshakePrice));
        // A task that queues delays all behind it, the more the longer it runs and the longer the queue.
        // Unreported, the last tasks tell of queues: by own slots alone wide ones were bounced while idle.
        double delay = wait.over(wait.plus(meanWork()));
        if (!settings.reportsLoad) {
            wait = wait.orShorter(Span.ofMillis(begins.mean(now, meanWork().times(KIN_AGES), 0, OLD_SAY)));
            double part = wait.over(wait.plus(Span.ofMillis(dues.mean(t.type.due().millis()))));
            delay = QUEUE_COST * part * part;   // little while waits are short against due times, then steep
        }
        delay *= earningsAsked.mean(1) * cost(t);
        return earnings(t) * (well * (inTime + (1 - inTime) * late)) - cross - delay
                - 0.02 * earnings(t) * Math.min(5, end.over(t.type.due()));
    }

    // ---------------------------------------------------------------- deciding

    public boolean decideNext(Decisions out) {
        while (!toCancel.isEmpty()) {
            Attempt a = toCancel.poll();
            if (!a.ended) {
                out.cancel(a.task.id, a.number);
                return true;
            }
        }
        while (timers.due(now)) {
            Task t = timers.poll();
            if (t != null && !t.closed) {
                queue(t);
            }
        }
        while (!todo.isEmpty()) {
            Task t = todo.poll();
            t.waiting = false;
            if (!t.closed && act(t, out)) {
                return true;
            }
        }
        if (subscribeAt != null && !now.before(subscribeAt)) {
            subscribeAt = null;
            out.subscribe();
            return true;
        }
        if (timers.next() != null && (armed == null || timers.next().before(armed))) {
            armed = timers.next();
            out.wakeAt(armed);
            return true;
        }
        return false;
    }

    private boolean act(Task t, Decisions out) {
        if (!now.before(t.expiry.minus(settings.tick.times(2)))) {
            return giveUp(t, out);
        }
        if (holdFrom != null && !now.before(holdFrom)) {
            Span left = allowed(t).minus(work(t));
            if (t.open == 0 && left.micros() <= 0) {
                return giveUp(t, out);
            }
            held.add(t);
            if (t.open == 0) {      // what is out waits for the list alone: it was looked at every tick
                timers.set(now.plus(left), t);
            }
            return false;
        }
        if (t.open == 0 && t.erredAt != null && errsAgain() > 0.5) {
            return giveUp(t, out);
        }
        while (!t.copies.isEmpty()) {
            Worker w = t.copies.poll();
            if (extraSends >= copyPrice + RESCUE_RESERVE && mayAssign(t, w)) {
                extraSends -= copyPrice;
                return assign(t, w, out);
            }
        }
        return t.open == 0 ? place(t, out) : lookAfter(t, out);
    }

    private boolean place(Task t, Decisions out) {
        if (mayBounce(t) && full() * earningsAsked.mean(0) * cost(t) > earnings(t)) {
            return giveUp(t, out);      // the room it takes earns more, where that is short
        }
        if (!t.asked) {
            t.asked = true;
            if (t.tested == t.drawn.size()) {
                draw(t);
            }
            ask(t);
        }
        if (!t.toProbe.isEmpty()) {
            Worker w = t.toProbe.poll();
            w.probedAt = now;
            todo.addFirst(t);
            t.waiting = true;
            out.probe(w.id);
            return true;
        }
        if (t.echoesDue > 0 && now.before(t.probeUntil)) {
            return false;
        }
        t.drawn.forEach(w -> w.probeSilent |= w.asking.remove(t));   // silence in the short wait means busy
        t.echoesDue = 0;
        luck = t.luck;
        Worker best = null;
        double most = 0;
        for (Worker w : t.drawn.subList(0, t.tested)) {
            if (mayAssign(t, w)) {
                double value = value(t, w);
                value += value >= GOOD * earnings(t) && idle(w, t) ? earnings(t) : 0;
                if (best == null || value > most) {
                    best = w;
                    most = value;
                }
            }
        }
        if (t.tested < t.drawn.size() && (best == null || most < (1 + GOOD) * earnings(t))) {
            t.asked = false;
            return place(t, out);
        }
        if (!settings.reportsLoad && mayCopy(t) && most > earnings(t)) {
            best = bySize(t);
        }
        if (best == null || mayBounce(t) && (most <= 0 || begunInTime(t, best) < takeAt)) {
            t.asked = t.draws >= DRAWS;     // in a large fleet a few busy candidates tell little
            if (t.asked && best == null) {
                earnColdCredit(cost(t));      // in a fleet that is cold as a whole nothing was ever sent
            }
            return t.asked ? giveUp(t, out) : place(t, out);
        }
        for (Worker w : t.drawn.subList(0, t.tested)) {
            if (w != best && copyPays(t, w)) {
                t.copies.add(w);
            }
        }
        extraSends = Math.min(MOST_SAVED, extraSends + EXTRA_SENDS);
        return assign(t, best, out);
    }

    /** Nothing tells the idle ones apart: one of them by chance, in proportion to what it can do. */
    private Worker bySize(Task t) {
        ArrayList<Worker> good = new ArrayList<>();
        ArrayList<Double> weights = new ArrayList<>();
        double sum = 0;
        for (Worker w : t.drawn.subList(0, t.tested)) {
            double part = mayAssign(t, w) ? value(t, w) / earnings(t) : 0;
            if (part >= GOOD && idle(w, t)) {
                good.add(w);
                weights.add(size(w) * Math.pow(part, BY_VALUE));
                sum += weights.get(weights.size() - 1);
            }
        }
        double left = chance.next() * sum;
        int i = 0;
        while (i < good.size() - 1 && (left -= weights.get(i)) > 0) {
            i++;
        }
        return good.get(i);
    }

    /** How likely it is to end in time, by how late the last tasks began that could go on elsewhere. */
    private double begunInTime(Task t, Worker w) {
        if (settings.reportsLoad) {
            return inTime(t, wait(w, t.width), run(w, t));
        }
        DecayingSamples seen = mayGoOn(t) ? begins : w.kin.starts;
        Span run = run(w, t);
        Span slack = allowed(t).minus(run);
        Span blur = run.times(RUN_SPREAD).orLonger(settings.tick);
        Span fade = meanWork().times(KIN_AGES);
        double weight = OLD_SAY;
        double sum = OLD_SAY / (1 + Math.exp(-slack.over(blur)));
        for (int i = 0; i < seen.count(); i++) {
            double say = seen.say(i, now, fade);
            weight += say;
            sum += say / (1 + Math.exp(-slack.minus(Span.ofMillis(seen.get(i))).over(blur)));
        }
        return sum / weight;
    }

    private boolean copyPays(Task t, Worker w) {
        return mayCopy(t) && (w.zone == settings.zone || settings.crossingPrice <= 0.1)
                && (w.trickle > 0 && w.out.isEmpty() || idle(w, t) && value(t, w) >= GOOD * earnings(t));
    }

    /** How long an assignment may be out before a start note is missed: it queues, or is lost. */
    private Span patience(Attempt a) {
        return settings.tellsStart ? a.task.type.due().times(START_BY) : a.predicted.times(OVERDUE);
    }

    private boolean mayCopy(Task t) {
        return settings.mayCancel && settings.secondCopies
                && t.type.effect() != TrafficType.Effect.SIDE_EFFECTING;
    }

    /** It may queue at a second worker, whichever that is. */
    private boolean mayGoOn(Task t) {
        return mayCopy(t) && (t.type.effect() == TrafficType.Effect.IDEMPOTENT
                || t.type.group() == TrafficType.Group.ALL);
    }

    /** One of its assignments may have run, and it may go further only where a repeat is dropped. */
    private boolean staysInGroup(Task t) {
        return t.type.effect() == TrafficType.Effect.FINGERPRINTED
                && t.type.group() != TrafficType.Group.ALL && t.sent.stream().anyMatch(a -> !a.neverRan);
    }

    /** D random ready workers of the task's kind, split between own zone and elsewhere. */
    private void draw(Task t) {
        survey();
        t.luck = t.draws++ == 0 ? chance.next() : t.luck;
        kept.free(now).filter(w -> w.ready && eligible(t, w) && !t.drawn.contains(w))
                .limit(KEPT).forEach(t.drawn::add);
        var sides = roster.sides(t.typeNumber);
        for (ArrayList<Worker> side : sides) {
            int most = sides.get(0).isEmpty() || sides.get(1).isEmpty() ? D : D / 2;
            // What can't go on to another queue is placed once: more are looked at.
            most *= !settings.reportsLoad && !mayCopy(t) ? ONCE_MORE : 1;
            // The credit bounds what cold ones get over time, the odds a rush of all to one with room. What
            // has to stay in a group is sure to draw its cold one: a rescue of each dispatcher felled it.
            double reach = staysInGroup(t) ? 1 : (double) side.size() / most;
            coldOdds = COLD_RUSH * settings.tipMultiple * reach / roster.ready() * (1 - full());
            int found = 0;
            for (int i = 0; i < side.size() && found < most; i++) {
                int j = i + (int) (chance.next() * (side.size() - i));
                Worker w = side.get(j);
                side.set(j, side.get(i));
                side.set(i, w);
                if (eligible(t, w) && !t.drawn.contains(w)) {
                    t.drawn.add(w);
                    found++;
                }
            }
        }
    }

    private boolean eligible(Task t, Worker w) {
        return (t.type.bound() || !w.needed || leavesRoom()) && (distrust || trusted(w, t)) && licence(t, w)
                && (warmth(w) >= 1 || coldCredit > 0 && chance.next() < coldOdds * warmth(w));
    }

    /**
     * What may run anywhere leaves room where bound types have to run: such workers are drawn the less, the
     * fuller they are than the rest. Guards against any lean on some places. Harm: more ways to other zones.
     */
    private boolean leavesRoom() {
        double fuller = (1 + placeLoad[1].mean(0)) / (1 + placeLoad[0].mean(placeLoad[1].mean(0)));
        return fuller <= 1 || chance.next() < Math.pow(fuller, -LEAVE_ROOM);
    }

    private boolean trusted(Worker w, Task t) {
        if (silent(w) || w.zone != settings.zone && cutUntil != null && now.before(cutUntil)) {
            return false;
        }
        return w.trickle == 0 || t.type.effect() != TrafficType.Effect.SIDE_EFFECTING
                && w.out.size() < w.trickle && !now.before(w.trickleFrom);
    }

    /** Nothing heard from a worker for several predicted spans while something is out there. */
    private boolean silent(Worker w) {
        for (Attempt a : w.out) {
            Span quiet = now.since(w.lastWord != null && a.sentAt.before(w.lastWord) ? w.lastWord : a.sentAt);
            Span most = a.predicted.times(SILENCE).orLonger(settings.progressEvery.times(1.5));
            if (!a.calledOff && quiet.longerThan(most)) {
                return true;
            }
        }
        return false;
    }

    /** When most look bad, the judgement is distrusted rather than the workers. Looked at now and then. */
    private void survey() {
        if (surveyAt != null && now.since(surveyAt).micros() < meanWork().micros() / 4) {
            return;
        }
        surveyAt = now;
        double ready = 0, aside = 0, size = 0, cold = 0;
        for (Worker w : roster.all) {
            if (w.ready) {
                ready++;
                aside += w.trickle > 0 || silent(w) ? 1 : 0;
                size += size(w);
                cold += warmth(w) < 1 ? size(w) * warmth(w) : 0;
            }
        }
        distrust = aside * 2 > ready;
        // Scattered at first, so that not all dispatchers send their first task to a new worker at once.
        coldCredit = coldPart == 0 ? -chance.next() : coldCredit;
        coldPart = cold == 0 ? 0 : cold / size;
    }

    /** Probes the next candidates whose last word is no longer fresh, and sets the short wait. */
    private void ask(Task t) {
        int from = t.tested;
        // Live weights of the list tell as much, and cost nothing.
        // So does a send, where the task may go on to the next and no report would come with the answer.
        boolean probes = settings.mayProbe && !settings.liveWeights && (settings.reportsLoad || !mayCopy(t));
        t.tested = probes ? Math.min(from + ASK, t.drawn.size()) : t.drawn.size();
        if (!probes) {
            return;
        }
        Span fresh = meanWork().times(FRESH_FOR);
        Span wait = meanWork().times(PROBE_WAIT);
        for (Worker w : t.drawn.subList(from, t.tested)) {
            boolean pending = w.probedAt != null && now.since(w.probedAt).micros() < wait.micros()
                    && !w.asking.isEmpty();
            boolean stale = w.lastWord == null || now.since(w.lastWord).longerThan(fresh);
            if ((pending || stale) && t.luck <= trust(w)) {
                if (!pending) {
                    t.toProbe.add(w);
                }
                w.asking.add(t);
                t.echoesDue++;
            }
        }
        if (t.echoesDue > 0) {
            t.probeUntil = now.plus(wait);
            timers.set(t.probeUntil, t);
        }
    }

    /** A task that is out: is it lost or late where it is, and would another worker still be in time? */
    private boolean lookAfter(Task t, Decisions out) {
        boolean stuck = true;
        boolean hopeless = true;    // no answer is counted on any more
        Attempt open = null;
        for (Attempt a : t.sent) {
            if (!a.ended && !a.calledOff) {
                open = a;
                Moment told = a.progress > 0 ? a.progressAt : a.begunAt != null ? a.begunAt : a.sentAt;
                if (settings.progressEvery.micros() > 0 && !a.lost
                        && now.since(told).longerThan(settings.progressEvery.times(1.5))) {
                    // No answer will come: such counted as slow runs and full workers, and half was bounced.
                    a.lost = true;
                    roster.zone(a.worker.zone).reached.put(now, 0);
                    if (a.begunAt == null && !silent(a.worker)) {
                        a.worker.lostAt.put(a.task.typeNumber, now);
                    }
                }
                hopeless &= a.lost && (a.begunAt != null || silent(a.worker));
                if (a.begunAt == null && now.since(a.sentAt).longerThan(patience(a))) {
                    believe(a, false);
                }
                Span most = a.begunAt == null ? patience(a) : run(a.worker, t).times(OVERDUE);
                Moment from = a.begunAt == null ? a.sentAt : a.begunAt;
                stuck &= now.since(from).longerThan(most) || silent(a.worker);
            }
        }
        if (open == null) {
            return false;
        }
        Span look = open.begunAt == null ? patience(open) : meanWork().times(0.5);
        timers.set(now.plus(look).plus(settings.tick), t);
        double price = open.begunAt != null ? copyPrice : settings.tellsStart ? QUEUE_PRICE : 1;
        if (lateForNothing(t, open.worker)) {
            return giveUp(t, out);
        }
        if (hopeless && !mayGoFurther(t)) {
            return giveUp(t, out);      // held to its expiry, the client could not come back in time
        }
        if (!stuck || !mayCopy(t) || extraSends < price) {
            return false;
        }
        t.newDraw();
        draw(t);
        Worker best = null;
        double most = 0;
        for (Worker w : t.drawn) {
            if (mayAssign(t, w) && value(t, w) > most) {
                best = w;
                most = value(t, w);
            }
        }
        extraSends -= best == null ? 0 : price;
        return best != null && assign(t, best, out);
    }

    /**
     * Late by its own hint, and others wait for its room: a fleet short of room did a quarter of its work for
     * late answers. Harm: where hints tell too little. What may not be bounced goes on.
     */
    private boolean lateForNothing(Task t, Worker w) {
        return t.hint.micros() > 0 && t.type.lateEarnings() == 0 && mayBounce(t) && allowed(t).micros() < 0
                && wait(w, t.width).micros() > 0;
    }

    /** Whether any assignment more could be lawful, to whichever worker. */
    private boolean mayGoFurther(Task t) {
        return mayCopy(t) && t.sent.size() < settings.mostAssignments
                && (t.type.effect() == TrafficType.Effect.IDEMPOTENT || t.sent.stream().allMatch(
                        a -> a.neverRan
                                || now.before(a.sentAt.plus(t.type.window()).minus(settings.tick.times(2)))));
    }

    // ---------------------------------------------------------------- the guarded place

    /** Every rule that an assignment must keep. */
    private boolean mayAssign(Task t, Worker w) {
        return !t.closed && w.ready && t.sent.size() < settings.mostAssignments
                && now.before(t.expiry.minus(settings.tick.times(2)))
                && (t.open == 0 || settings.secondCopies) && (warmth(w) >= 1 || coldCredit > 0)
                && licence(t, w) && (t.sent.isEmpty() || mayGoAgain(t));
    }

    /**
     * Rule 5. Each type's first further one in the span is kept from cheaper types, and from any that has had
     * its own: no flood of one uses up what the next needs.
     */
    private boolean mayGoAgain(Task t) {
        double left = budget.left(now);
        boolean hadOne = budget.used(t.type);
        for (TrafficType o : settings.types) {
            left -= o != t.type && (hadOne || o.earnings() > t.type.earnings()) && !budget.used(o) ? 1 : 0;
        }
        return !budget.stated() || left >= 1;
    }

    /** Rule 7: where a traffic type may run at all. Candidates are taken by it; the guard asks again. */
    private boolean allows(TrafficType type, Worker w) {
        return (type.zones() == null || type.zones().contains(w.zone))
                && (type.kinds() == null || type.kinds().contains(w.kind));
    }

    /** Rules 2 and 7: what the traffic type allows, after the assignments so far. */
    private boolean licence(Task t, Worker w) {
        if (!allows(t.type, w)) {
            return false;
        }
        for (Attempt a : t.sent) {
            if (a.neverRan) {
                continue;
            }
            if (!a.ended && a.worker == w || t.type.effect() == TrafficType.Effect.SIDE_EFFECTING) {
                return false;
            }
            Moment until = a.sentAt.plus(t.type.window()).minus(settings.tick.times(2));
            boolean inGroup = a.worker.sharesGroup(w, t.type.group()) && now.before(until);
            if (t.type.effect() == TrafficType.Effect.FINGERPRINTED && !inGroup) {
                return false;
            }
        }
        return true;
    }

    private boolean mayBounce(Task t) {
        return t.type.effect() == TrafficType.Effect.IDEMPOTENT || t.sent.stream().allMatch(a -> a.neverRan)
                || t.type.effect() == TrafficType.Effect.FINGERPRINTED
                        && t.type.group() == TrafficType.Group.ALL;
    }

    /**
     * Rule 4, with no word among dispatchers: of what each sends, cold workers may get the part that what
     * they can do is of the whole fleet when warm, times a share of the stated multiple. Over all of them,
     * however unlike their traffic, that adds up to this share of what cold ones can do: what never ran earns
     * nothing, or where a fleet turns half away as full cold ones would be sent twice what was reckoned.
     */
    private void earnColdCredit(double cost) {
        coldCredit = Math.min(1, coldCredit + COLD_SHARE * settings.tipMultiple * coldPart * cost);
    }

    /** The part of what was sent lately that was turned away: how short room is. */
    private double full() {
        return 1 - accepted.mean(now, meanWork().times(KIN_AGES), 1, OLD_SAY);
    }

    /** In mean runs. */
    private double cost(Task t) {
        return work(t).over(meanWork()) * t.width;
    }

    private boolean assign(Task t, Worker w, Decisions out) {
        Attempt a = new Attempt(t, t.sent.size(), w, now, wait(w, t.width), run(w, t));
        a.saidIdle = w.othersAt != null && idle(w, t)
                && meanWork().times(AGES).longerThan(now.since(w.othersAt));
        if (t.open == 0) {
            a.coldCredit = cost(t);
            earnColdCredit(a.coldCredit);
        }
        budget.sent(a);
        a.begin();
        w.freeSince.pollLast();
        if (warmth(w) < 1) {
            coldCredit -= cost(t);
        }
        if (t.copies.isEmpty()) {
            timers.set(now.plus(patience(a)).plus(settings.tick), t);
        } else {
            t.waiting = true;
            todo.addFirst(t);
        }
        out.forward(t.id, w.id, Span.ZERO);
        return true;
    }

    /** The one place of final answers from here: bounced where that is lawful, else abandoned. */
    private boolean giveUp(Task t, Decisions out) {
        boolean bounce = mayBounce(t);
        turnedAway.put(t.late ? 0 : 1);
        close(t);
        if (bounce) {
            out.reject(t.id, settings.comeBackAdvice
                    ? meanWork().times(1 + chance.next()).orShorter(settings.longestComeBack)
                    : Span.ZERO);
        } else {
            out.fail(t.id);
        }
        return true;
    }
}
