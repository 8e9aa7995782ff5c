package rampshift.testbed.workers;

import java.util.Locale;
import rampshift.eventlog.EventLog;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;

/** Writes the events of one worker. The rule checker depends on the event names and the order of fields. */
final class WorkerEventLog {
    private static final String COLD = "cold";
    private static final String WARM = "warm";

    private final EventLog eventLog;
    private final String uid;

    WorkerEventLog(EventLog eventLog, String uid) {
        this.eventLog = eventLog;
        this.uid = uid;
    }

    private static String warmUpState(boolean cold) {
        return cold ? COLD : WARM;
    }

    /** Records that the worker's process has started. */
    void processStarted(Moment now, boolean cold) {
        eventLog.append(now, "boot", uid, warmUpState(cold));
    }

    /** Records that the worker has crashed from overload. */
    void crashedByOverload(Moment now) {
        eventLog.append(now, "fell", uid);
    }

    /** Records that a connection is reset at the first bytes of a request. */
    void requestReset(Moment now, int dispatcher) {
        eventLog.append(now, "part", uid, dispatcher);
    }

    /** Records an invalid request. */
    void requestInvalid(Moment now, int dispatcher) {
        eventLog.append(now, "odd", uid, dispatcher);
    }

    /** Records a health check or a request for the load report. */
    void probed(Moment now, int dispatcher) {
        eventLog.append(now, "probe", uid, dispatcher);
    }

    /** Records a task that has arrived completely; sentAt is the earliest send time of its first byte. */
    void taskReceived(Moment now, int dispatcher, Task task, String type, Moment sentAt, boolean cold) {
        eventLog.append(now, "took", uid, dispatcher, task.transactionId(), task.idempotencyKey(), type,
                sentAt.micros(), warmUpState(cold));
        if (task.leaseToken() != null) {
            eventLog.append(now, "acted", task.transactionId());
        }
    }

    /** Records that a task was rejected for lack of capacity. */
    void taskRejected(Moment now, Task task) {
        eventLog.append(now, "away", uid, task.transactionId());
    }

    /** Records that a task has started; without effect if its idempotency key is repeated. */
    void taskStarted(Moment now, Task task, FleetPlan.TrafficType type, boolean repeated) {
        eventLog.append(now, repeated ? "dropped" : "began", uid, task.transactionId(),
                task.idempotencyKey(), type.name());
    }

    /** Records that a task under a lease has started; without effect if its fencing token is refused. */
    void leasedTaskStarted(Moment now, Task task, FleetPlan.TrafficType type, boolean refused) {
        LeaseToken token = task.leaseToken();
        eventLog.append(now, refused ? "refused" : "effect", token.lease(), token.number(), uid,
                task.transactionId(), task.idempotencyKey(), type.effect().name().toLowerCase(Locale.ROOT));
    }

    /** Records that a task has failed. */
    void taskFailed(Moment now, Task task) {
        eventLog.append(now, "erred", uid, task.transactionId());
    }

    /** Records that a task is complete. */
    void taskCompleted(Moment now, Task task, String result) {
        eventLog.append(now, "done", uid, task.transactionId(), result);
    }

    /** Records that the dispatcher has closed a connection before the end of its task. */
    void taskAbandoned(Moment now, Job job) {
        eventLog.append(now, "off", uid, job.task().transactionId(), job.isStarted() ? "begun" : "unbegun");
    }
}
