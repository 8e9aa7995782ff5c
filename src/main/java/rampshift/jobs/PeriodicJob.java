package rampshift.jobs;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * One duty, at whoever holds its lease. Before a task is handed in the register says that it may be: whoever
 * comes after
 * knows which may have run. It has no clock, socket or thread.
 */
public final class PeriodicJob {
    /** Carries out what is decided. */
    public interface Out {
        /** Hands in a task; its end goes to {@link PeriodicJob#ended}. */
        void hand(int object, String id, String txn);

        /** To the lease's register. */
        void note(String text);

        /** Words of its ledger: begins, done, unsure, missed, over. */
        void tell(String what, long run, int object);
    }

    /** How a task ended. */
    public enum End { DONE, NEVER_RAN, MAY_HAVE_RUN }

    private static final int MOST_OUT = 200;
    private static final int TRIES = 20;            // of a task that never ran, before it is told as given up

    private final PeriodicJobSettings plan;
    private final Span term;
    private final Out out;
    private final TreeMap<Integer, Moment> waiting = new TreeMap<>();       // object: not before
    private final Map<Integer, Integer> tries = new HashMap<>();
    // handed in, or waiting to be
    private final java.util.TreeSet<Integer> open = new java.util.TreeSet<>();
    private long token;
    private JobProgress said = JobProgress.NONE;          // what is to stand in the register
    private JobProgress stands = JobProgress.NONE;        // what does
    // the first object that was not handed in under this token
    private int next;
    private Moment handAt;
    private boolean holding;

    /** Term: of the lease, by which the window of tasks that may be out is sized. */
    public PeriodicJob(PeriodicJobSettings plan, Span term, Out out) {
        this.plan = plan;
        this.term = term;
        this.out = out;
    }

    public PeriodicJobSettings plan() {
        return plan;
    }

    /** Tasks that may be out at once. */
    private int window() {
        return (int) Math.max(1, Math.min(MOST_OUT, plan.rate() * term.millis() / 2000));
    }

    /**
     * Looked at now and then, and soon after each end.
     *
     * @param now on any clock that only advances
     * @param due the number of the run that is due, by {@link PeriodicJobSettings#due}: it decides when, never whether two
     * act
     * @param heldToken the token, or 0 while the lease is not held
     * @param note what stands in the register
     */
    public void look(Moment now, long due, long heldToken, String note) {
        if (heldToken == 0) {
            holding = false;
            return;
        }
        stands = JobProgress.of(note);
        if (!holding || token != heldToken) {
            takeUp(now, heldToken);
        }
        if (stands.over() && said.equals(stands)) {
            begin(due);
        }
        if (!stands.equals(said)) {
            return;         // nothing is handed in before a majority knows that it may be
        }
        hand(now);
        moveOn();
    }

    private void takeUp(Moment now, long heldToken) {
        holding = true;
        token = heldToken;
        waiting.clear();
        tries.clear();
        open.clear();
        handAt = now;
        said = stands;
        next = stands.to();
        for (int object = stands.from(); object < stands.to(); object++) {
            if (plan.again()) {
                open.add(object);
                waiting.put(object, now);
            } else {
                out.tell("unsure", stands.run(), object);   // it may have run: rule 2 forbids a second time
            }
        }
    }

    private void begin(long due) {
        long run = Math.max(stands.run() + 1, due - plan.catchUp());
        if (run > due) {
            return;
        }
        for (long missed = stands.run() + 1; stands.run() > 0 && missed < run; missed++) {
            out.tell("missed", missed, 0);
        }
        next = 0;
        say(new JobProgress(run, 0, Math.min(window(), plan.count()), false));
        out.tell("begins", run, 0);
    }

    private void say(JobProgress what) {
        said = what;
        out.note(what.text());
    }

    private void hand(Moment now) {
        if (stands.over()) {
            return;
        }
        Span between = Span.ofMillis(1000 / plan.rate());
        while (!now.before(handAt)) {
            Integer again = waiting.entrySet().stream().filter(e -> !now.before(e.getValue()))
                    .map(Map.Entry::getKey).findFirst()
                    .orElse(null);
            int object;
            if (again != null) {
                object = again;
                waiting.remove(again);
            } else if (next < stands.to()) {
                object = next++;
                open.add(object);
            } else {
                handAt = now;
                return;
            }
            handAt = handAt.plus(between);
            int attempt = tries.merge(object, 1, Integer::sum);
            String id = plan.name() + "-" + stands.run() + "-" + object;
            out.hand(object, id, id + "." + token + "." + attempt);
        }
    }

    /**
     * A task has ended. Under: the token under which it was handed in; of another nothing is counted any
     * more.
     */
    public void ended(Moment now, long under, int object, End end, Span comeBack) {
        if (under != token || !open.contains(object)) {
            return;
        }
        if (end == End.DONE || end == End.MAY_HAVE_RUN && !plan.again()
                || tries.getOrDefault(object, 0) >= TRIES) {
            open.remove(object);
            out.tell(end == End.DONE ? "done" : end == End.MAY_HAVE_RUN ? "unsure" : "given-up", stands.run(),
                    object);
        } else {
            waiting.put(object, now.plus(comeBack));
        }
    }

    /** What is settled is written down once half of the window is, or all. */
    private void moveOn() {
        if (stands.over()) {
            return;
        }
        int settled = open.isEmpty() ? next : Math.min(next, open.first());
        int to = Math.min(plan.count(), settled + window());
        if (settled >= plan.count()) {
            out.tell("over", stands.run(), 0);
            say(new JobProgress(stands.run(), settled, settled, true));
        } else if (settled - stands.from() >= Math.max(1, window() / 2) && to > stands.to()) {
            say(new JobProgress(stands.run(), settled, to, false));
        }
    }
}
