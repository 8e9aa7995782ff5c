package rampshift.testbed.workers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * What a worker's machine does with the jobs it is given: it runs as many as fit, lets others wait, turns the
 * rest
 * away, is slow while it is cold and falls over when it is given too much then. No I/O, no clock: its host
 * tells
 * the time with each call, and pulls what has begun and what is done.
 */
final class WorkerModel {
    /** While it warms up its speed changes all the time: looked at so many times on the way. */
    private static final int COLD_LOOKS = 200;

    private final FleetPlan.Machine kind;
    private final boolean inOrder;
    private final FleetPlan.Cold cold;
    private final List<Job> running = new ArrayList<>();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final ArrayDeque<Job> begun = new ArrayDeque<>();
    private final ArrayDeque<Job> done = new ArrayDeque<>();
    private final ArrayDeque<Sent> sent = new ArrayDeque<>();
    private double sentWork;
    private Moment now;
    private Moment born;
    private double usedSlots;
    private double usedMemory;
    private double factor = 1;
    private boolean stands;
    private boolean fallen;

    /** Work that came, in slot-microseconds. */
    private record Sent(Moment when, double work) {}

    /** Born null: warm for long. */
    WorkerModel(FleetPlan.Machine kind, boolean inOrder, FleetPlan.Cold cold, Moment now, Moment born) {
        this.kind = kind;
        this.inOrder = inOrder;
        this.cold = cold;
        this.now = now;
        this.born = born;
    }

    // ---- what is told

    /** A job has come. False: there is no room for it, and it never began. */
    boolean offer(Job job, Moment when) {
        advance(when);
        weigh(job);     // it was sent, whether it finds room or not
        if (fallen || (waiting.size() >= kind.waiting() && !fits(job)) || job.memory > kind.memory()) {
            return false;
        }
        waiting.add(job);
        start();
        return true;
    }

    /** It is taken back, or its connection has ended. */
    void remove(Job job, Moment when) {
        advance(when);
        if (running.remove(job)) {
            free(job);
        }
        waiting.remove(job);
        done.remove(job);
        job.over = true;
        start();
    }

    /** From now on it works at such a share of its speed. */
    void factor(double share, Moment when) {
        advance(when);
        factor = share;
    }

    /** It stands still, and begins nothing; or goes on. */
    void stand(boolean still, Moment when) {
        advance(when);
        stands = still;
        start();
    }

    /** All it held is lost, and it starts anew, cold. */
    void restart(Moment when) {
        running.clear();
        waiting.clear();
        begun.clear();
        done.clear();
        sent.clear();
        sentWork = 0;
        usedSlots = 0;
        usedMemory = 0;
        fallen = false;
        now = when;
        born = when;
    }

    void advance(Moment when) {
        if (!now.before(when)) {
            return;
        }
        double work = when.since(now).micros() * rate(when);
        now = when;
        if (work <= 0) {
            return;
        }
        for (Iterator<Job> i = running.iterator(); i.hasNext();) {
            Job job = i.next();
            job.left -= work;
            // Less than a microsecond is the rounding of the host's timers.
            if (job.left < 1) {
                i.remove();
                free(job);
                done.add(job);
            }
        }
        start();
    }

    // ---- what is pulled

    /** A job that has begun to run since, or null. */
    Job nextBegun() {
        return begun.poll();
    }

    /** A job that is done, or null. */
    Job nextDone() {
        return done.poll();
    }

    /** When to look again; null: not before something comes. */
    Moment nextLook() {
        double rate = rate(now);
        if (running.isEmpty() || rate <= 0) {
            return null;
        }
        double least = Double.MAX_VALUE;
        for (Job job : running) {
            least = Math.min(least, job.left);
        }
        Moment end = now.plus(new Span((long) Math.ceil(least / rate)));
        return cold() ? end.orEarlier(now.plus(cold.warm().times(1.0 / COLD_LOOKS))) : end;
    }

    boolean fallen() {
        return fallen;
    }

    boolean cold() {
        return born != null && cold.warm().longerThan(now.since(born));
    }

    double freeSlots() {
        return Math.max(0, kind.slots() - usedSlots - waiting.stream().mapToDouble(j -> j.slots).sum());
    }

    double freeMemory() {
        return Math.max(0, kind.memory() - usedMemory);
    }

    int waiting() {
        return waiting.size();
    }

    int held() {
        return waiting.size() + running.size();
    }

    Moment born() {
        return born;
    }

    /** Work a second that it can do when warm and alone. */
    double nominal() {
        return kind.slots() * kind.speed();
    }

    // ---- within

    private double warmth(Moment when) {
        if (born == null) {
            return 1;
        }
        double way = cold.warm().micros() == 0 ? 1 : Math.min(1, when.since(born).over(cold.warm()));
        return cold.from() + (1 - cold.from()) * way;
    }

    private double rate(Moment when) {
        return stands || fallen ? 0 : kind.speed() * warmth(when) * factor;
    }

    private boolean fits(Job job) {
        return (usedSlots == 0 && running.isEmpty())
                || (usedSlots + job.slots <= kind.slots() && usedMemory + job.memory <= kind.memory());
    }

    private void start() {
        if (stands || fallen) {
            return;
        }
        for (Iterator<Job> i = waiting.iterator(); i.hasNext();) {
            Job job = i.next();
            if (fits(job)) {
                i.remove();
                usedSlots += job.slots;
                usedMemory += job.memory;
                job.begun = true;
                running.add(job);
                begun.add(job);
            } else if (inOrder) {
                return;
            }
        }
    }

    private void free(Job job) {
        usedSlots = running.isEmpty() ? 0 : usedSlots - job.slots;
        usedMemory = running.isEmpty() ? 0 : usedMemory - job.memory;
    }

    /**
     * Sent more than the stated multiple of what it can do now, for the stated time, a cold one falls over.
     */
    private void weigh(Job job) {
        if (!cold()) {
            sent.clear();
            sentWork = 0;
            return;
        }
        sent.add(new Sent(now, job.work.micros() * job.slots));
        sentWork += job.work.micros() * job.slots;
        while (now.since(sent.peek().when()).longerThan(cold.fall())) {
            sentWork -= sent.poll().work();
        }
        double can = kind.slots() * kind.speed() * warmth(now) * cold.fall().micros();
        if (sentWork > cold.tip() * can) {
            fallen = true;
        }
    }
}
