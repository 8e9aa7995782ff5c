package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** One sending of a task to a worker. */
final class Attempt {
    final Task task;
    final int number;
    final Worker worker;
    final Moment sentAt;
    final Span wait;            // predicted
    final Span predicted;       // the wait and the run
    Moment begunAt;
    Moment progressAt;
    double progress;
    /** Reports said that it would begin at once, and it is not known yet whether they held. */
    boolean saidIdle;
    /** It has begun, but its notes of progress have ended without an answer. */
    boolean lost;
    /** What it counted for when what cold workers may be sent was reckoned, in mean runs. */
    double coldCredit;
    boolean ended;
    boolean neverRan;
    boolean calledOff;

    Attempt(Task task, int number, Worker worker, Moment sentAt, Span wait, Span run) {
        this.task = task;
        this.number = number;
        this.worker = worker;
        this.sentAt = sentAt;
        this.wait = wait;
        predicted = wait.plus(run);
    }

    /** It is out. */
    void begin() {
        task.sent.add(this);
        task.open++;
        worker.out.add(this);
    }

    void end(boolean withoutRunning) {
        ended = true;
        neverRan = withoutRunning;
        worker.out.remove(this);
        task.open--;
    }
}
