package rampshift.pipeline;

import rampshift.counters.Counters;
import rampshift.policy.AttemptOutcome;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;
import rampshift.workers.AttemptExchange;
import rampshift.workers.AttemptListener;
import rampshift.workers.AttemptRequest;
import rampshift.workers.ConnectionPool;
import rampshift.workers.LoadReport;

/** Fourth stage: carries an assignment to its worker and what comes of it back to the routing stage. */
public final class AttemptSender {
    private final ConnectionPool pool;
    private final Clock clock;
    private final TaskRegistry book;

    public AttemptSender(ConnectionPool pool, Clock clock, TaskRegistry book) {
        this.pool = pool;
        this.clock = clock;
        this.book = book;
    }

    void assign(PolicyHost route, InFlightTask task, long worker, Span timeout) {
        int number = task.assignments.size();
        Moment sendBy = task.sendBy();
        task.assignments.add(null);
        task.sentAt.add(clock.now());
        task.out++;
        book.count(Counters.Name.ASSIGNED);
        boolean[] ended = {false};
        AttemptRequest request =
                new AttemptRequest(task.txn, task.once, sendBy, () -> task.message(clock.now()), timeout);
        AttemptExchange a =
                pool.startAttempt(worker, request, new AttemptListener() {
                    @Override
                    public boolean isStillWanted() {
                        return task.call.waits();
                    }

                    @Override
                    public void onStarted() {
                        route.begun(task, number);
                    }

                    @Override
                    public void onProgress(double share) {
                        route.progressed(task, number, share);
                    }

                    @Override
                    public void onLoadReport(long from, LoadReport load) {
                        route.reported(from, load);
                    }

                    @Override
                    public void onOutcome(AttemptOutcome outcome, byte[] result) {
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

    void cancel(InFlightTask task, int number) {
        AttemptExchange a =
                number < 0 || number >= task.assignments.size() ? null : task.assignments.get(number);
        if (a != null) {
            a.cancel();
        }
    }

    void probe(PolicyHost route, long worker) {
        book.count(Counters.Name.PROBES);
        pool.checkHealth(worker, route::echoed);
    }
}
