package rampshift.stages;

import rampshift.counters.Counters;
import rampshift.decide.Outcome;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;
import rampshift.workers.Assignment;
import rampshift.workers.LoadReport;
import rampshift.workers.Pool;

/** Fourth stage: carries an assignment to its worker and what comes of it back to the routing stage. */
public final class Send {
    private final Pool pool;
    private final Clock clock;
    private final Book book;

    public Send(Pool pool, Clock clock, Book book) {
        this.pool = pool;
        this.clock = clock;
        this.book = book;
    }

    void assign(Route route, InHand task, long worker, Span timeout) {
        int number = task.assignments.size();
        Moment sendBy = task.sendBy();
        task.assignments.add(null);
        task.sentAt.add(clock.now());
        task.out++;
        book.count(Counters.Name.ASSIGNED);
        boolean[] ended = {false};
        Assignment a = pool.assign(worker, task.txn, task.once, sendBy, () -> task.message(clock.now()),
                timeout, new Assignment.Told() {
                    @Override
                    public boolean wanted() {
                        return task.call.waits();
                    }

                    @Override
                    public void begun() {
                        route.begun(task, number);
                    }

                    @Override
                    public void progressed(double share) {
                        route.progressed(task, number, share);
                    }

                    @Override
                    public void reported(long from, LoadReport load) {
                        route.reported(from, load);
                    }

                    @Override
                    public void ended(Outcome outcome, byte[] result) {
                        ended[0] = true;
                        task.assignments.set(number, null);
                        if (outcome.neverRan) {
                            task.sentAt.set(number, null);
                        }
                        task.out--;
                        book.count(Counters.Name.valueOf("OUTCOME_" + outcome));
                        route.ended(task, number, outcome, result);
                    }
                });
        if (!ended[0]) {
            task.assignments.set(number, a);
        }
    }

    void cancel(InHand task, int number) {
        Assignment a = number < 0 || number >= task.assignments.size() ? null : task.assignments.get(number);
        if (a != null) {
            a.callOff();
        }
    }

    void probe(Route route, long worker) {
        book.count(Counters.Name.PROBES);
        pool.probe(worker, route::echoed);
    }
}
