package rampshift.jobs;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * A periodic job at the dispatcher that holds its lease. The register of the lease records which tasks may be
 * submitted before they are, so that the next holder knows which tasks may have run. A deterministic state
 * machine: it has no clock, socket or thread.
 */
public final class PeriodicJob {
    /** Submits, stores and reports what the job requests. */
    public interface Output {
        /**
         * Submits a task, whose outcome is reported to {@link PeriodicJob#onTaskEnded}.
         *
         * @param object index of its object
         * @param id idempotency key, the same for all attempts of the task
         * @param transactionId unique id of the attempt
         */
        void submit(int object, String id, String transactionId);

        /** Writes the note of the job's lease. */
        void writeNote(String note);

        /** Reports an event of a run; the object is 0 if the event concerns the whole run. */
        void emit(JobEvent event, long run, int object);
    }

    /** The outcome of an attempt at a task. */
    public enum TaskOutcome {
        /** The task was completed. */
        COMPLETED,
        /** The task certainly had no effect. */
        NEVER_RAN,
        /** The task may have taken effect. */
        MAY_HAVE_RUN
    }

    private static final int MAX_IN_FLIGHT = 200;
    /** Attempts at a task before it is reported as failed or unsure. */
    private static final int MAX_ATTEMPTS = 20;
    private static final double MILLIS_PER_SECOND = 1000;

    private final PeriodicJobSettings settings;
    private final Output out;
    /**
     * Maximum number of tasks in flight: those submitted in half a term, from 1 to {@link #MAX_IN_FLIGHT}.
     */
    private final int window;
    private final TreeMap<Integer, Moment> retryAt = new TreeMap<>();
    private final Map<Integer, Integer> attempts = new HashMap<>();
    /** Objects whose tasks are in flight or wait for a retry. */
    private final TreeSet<Integer> unsettled = new TreeSet<>();
    private long token;
    private JobProgress writtenProgress = JobProgress.NONE;
    private JobProgress currentProgress = JobProgress.NONE;
    private int nextObject;
    private Moment submitAt;
    private boolean holding;

    /** Creates a job whose lease is not held yet; the term is that of the lease. */
    public PeriodicJob(PeriodicJobSettings settings, Span term, Output out) {
        this.settings = settings;
        this.out = out;
        double tasksInHalfATerm = settings.tasksPerSecond() * term.millis() / MILLIS_PER_SECOND / 2;
        window = (int) Math.max(1, Math.min(MAX_IN_FLIGHT, tasksInHalfATerm));
    }

    /** Returns the settings of the job. */
    public PeriodicJobSettings settings() {
        return settings;
    }

    /**
     * Performs the actions that are due. To be called at short intervals.
     *
     * @param now time of a monotonic clock
     * @param dueRun number of the run that is due; it may come from an inaccurate clock, since only the start
     *         of a run depends on it, not the exclusion of other dispatchers
     * @param heldToken the fencing token; 0 while the lease is not held
     * @param note the last observed note of the lease
     */
    public void onTimer(Moment now, long dueRun, long heldToken, String note) {
        if (heldToken == 0) {
            holding = false;
            return;
        }
        currentProgress = JobProgress.parse(note);
        if (!holding || token != heldToken) {
            takeOver(now, heldToken);
        }
        if (currentProgress.complete() && writtenProgress.equals(currentProgress)) {
            startRun(dueRun);
        }
        if (!currentProgress.equals(writtenProgress)) {
            return; // submit nothing before a quorum has stored that it may be submitted
        }
        if (!currentProgress.complete()) {
            submitTasks(now);
            writeProgress();
        }
    }

    /** Retries the tasks that the previous holder may have submitted if idempotent; else reports them. */
    private void takeOver(Moment now, long heldToken) {
        holding = true;
        token = heldToken;
        retryAt.clear();
        attempts.clear();
        unsettled.clear();
        submitAt = now;
        writtenProgress = currentProgress;
        nextObject = currentProgress.submittableBelow();
        for (int object = currentProgress.settledBelow(); object < currentProgress
                .submittableBelow(); object++) {
            if (settings.idempotent()) {
                unsettled.add(object);
                retryAt.put(object, now);
            } else {
                out.emit(JobEvent.TASK_UNSURE, currentProgress.run(), object);
            }
        }
    }

    private void startRun(long dueRun) {
        long run = Math.max(currentProgress.run() + 1, dueRun - settings.maxCatchUpRuns());
        if (run > dueRun) {
            return;
        }
        for (long missed = currentProgress.run() + 1; currentProgress.run() > 0 && missed < run; missed++) {
            out.emit(JobEvent.RUN_MISSED, missed, 0);
        }
        nextObject = 0;
        write(new JobProgress(run, 0, Math.min(window, settings.objectCount()), false));
        out.emit(JobEvent.RUN_STARTED, run, 0);
    }

    private void write(JobProgress progress) {
        writtenProgress = progress;
        out.writeNote(progress.encode());
    }

    private void submitTasks(Moment now) {
        Span interval = Span.ofMillis(MILLIS_PER_SECOND / settings.tasksPerSecond());
        while (!now.before(submitAt)) {
            Integer object = nextObjectToSubmit(now);
            if (object == null) {
                submitAt = now;
                return;
            }
            submitAt = submitAt.plus(interval);
            int attempt = attempts.merge(object, 1, Integer::sum);
            String id = settings.name() + "-" + currentProgress.run() + "-" + object;
            out.submit(object, id, id + "." + token + "." + attempt);
        }
    }

    /** Returns the next object, retries first; null if nothing may be submitted now. */
    private Integer nextObjectToSubmit(Moment now) {
        Integer retry = firstDueRetry(now);
        if (retry != null) {
            retryAt.remove(retry);
            return retry;
        }
        if (nextObject >= currentProgress.submittableBelow()) {
            return null;
        }
        unsettled.add(nextObject);
        return nextObject++;
    }

    private Integer firstDueRetry(Moment now) {
        return retryAt.entrySet().stream().filter(entry -> !now.before(entry.getValue()))
                .map(Map.Entry::getKey).findFirst().orElse(null);
    }

    /**
     * Handles the outcome of a task.
     *
     * @param taskToken the token under which the task was submitted; outcomes of another token are ignored
     * @param retryAfter minimum delay of a retry
     */
    public void onTaskEnded(Moment now, long taskToken, int object, TaskOutcome outcome, Span retryAfter) {
        if (taskToken != token || !unsettled.contains(object)) {
            return;
        }
        if (outcome == TaskOutcome.COMPLETED) {
            settle(object, JobEvent.TASK_COMPLETED);
        } else if (outcome == TaskOutcome.MAY_HAVE_RUN
                && (!settings.idempotent() || isOutOfAttempts(object))) {
            settle(object, JobEvent.TASK_UNSURE);
        } else if (isOutOfAttempts(object)) {
            settle(object, JobEvent.TASK_FAILED);
        } else {
            retryAt.put(object, now.plus(retryAfter));
        }
    }

    private boolean isOutOfAttempts(int object) {
        return attempts.getOrDefault(object, 0) >= MAX_ATTEMPTS;
    }

    private void settle(int object, JobEvent event) {
        unsettled.remove(object);
        out.emit(event, currentProgress.run(), object);
    }

    /** Writes the progress once half of the window, or the whole run, is newly settled. */
    private void writeProgress() {
        int settled = unsettled.isEmpty() ? nextObject : Math.min(nextObject, unsettled.first());
        int submittable = Math.min(settings.objectCount(), settled + window);
        int newlySettled = settled - currentProgress.settledBelow();
        if (settled >= settings.objectCount()) {
            out.emit(JobEvent.RUN_COMPLETED, currentProgress.run(), 0);
            write(new JobProgress(currentProgress.run(), settled, settled, true));
        } else if (newlySettled >= Math.max(1, window / 2)
                && submittable > currentProgress.submittableBelow()) {
            write(new JobProgress(currentProgress.run(), settled, submittable, false));
        }
    }
}
