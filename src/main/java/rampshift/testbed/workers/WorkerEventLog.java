package rampshift.testbed.workers;

import java.util.Locale;
import rampshift.eventlog.EventLog;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;

/** Writes what one worker observes. The words and the order of fields are those that the checkers read. */
final class WorkerEventLog {
    private static final String COLD = "cold";
    private static final String WARM = "warm";

    private final EventLog eventLog;
    private final String uid;

    WorkerEventLog(EventLog eventLog, String uid) {
        this.eventLog = eventLog;
        this.uid = uid;
    }

    private static String temperature(boolean cold) {
        return cold ? COLD : WARM;
    }

    /** Its process has started. */
    void processStarted(Moment now, boolean cold) {
        eventLog.append(now, "boot", uid, temperature(cold));
    }

    /** It has crashed under too much work. */
    void crashedByOverload(Moment now) {
        eventLog.append(now, "fell", uid);
    }

    /** A request has begun to arrive, and its connection was reset. */
    void requestCutShort(Moment now, int dispatcher) {
        eventLog.append(now, "part", uid, dispatcher);
    }

    /** A request was not valid. */
    void requestInvalid(Moment now, int dispatcher) {
        eventLog.append(now, "odd", uid, dispatcher);
    }

    /** A health check, or a request for the load, has arrived. */
    void probed(Moment now, int dispatcher) {
        eventLog.append(now, "probe", uid, dispatcher);
    }

    /** A whole task has arrived; its first byte was sent at the given time at the earliest. */
    void taskReceived(Moment now, int dispatcher, Task task, String type, Moment sentAt, boolean cold) {
        eventLog.append(now, "took", uid, dispatcher, task.transactionId(), task.idempotencyKey(), type,
                sentAt.micros(), temperature(cold));
        if (task.leaseToken() != null) {
            eventLog.append(now, "acted", task.transactionId());
        }
    }

    /** There was no room for a task. */
    void taskRejected(Moment now, Task task) {
        eventLog.append(now, "away", uid, task.transactionId());
    }

    /** A task has started; without effect if it repeats another one. */
    void taskStarted(Moment now, Task task, FleetPlan.TrafficType type, boolean repeated) {
        eventLog.append(now, repeated ? "dropped" : "began", uid, task.transactionId(),
                task.idempotencyKey(), type.name());
    }

    /** A task under a lease has started; without effect if its fencing token is refused. */
    void leasedTaskStarted(Moment now, Task task, FleetPlan.TrafficType type, boolean refused) {
        LeaseToken token = task.leaseToken();
        eventLog.append(now, refused ? "refused" : "effect", token.lease(), token.number(), uid,
                task.transactionId(), task.idempotencyKey(), type.effect().name().toLowerCase(Locale.ROOT));
    }

    /** A task has failed. */
    void taskFailed(Moment now, Task task) {
        eventLog.append(now, "erred", uid, task.transactionId());
    }

    /** A task is complete. */
    void taskCompleted(Moment now, Task task, String result) {
        eventLog.append(now, "done", uid, task.transactionId(), result);
    }

    /** The dispatcher has closed a connection before the end of its task. */
    void taskAbandoned(Moment now, Job job) {
        eventLog.append(now, "off", uid, job.task().transactionId(), job.isStarted() ? "begun" : "unbegun");
    }
}
