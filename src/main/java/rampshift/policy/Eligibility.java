package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** The rules on attempts: side effects, deduplication window, placement, draining and retry budget. */
record Eligibility(PolicyContext context, RetryBudget budget, SlowStart slowStart) {

    /** Safety margin before a deadline and before the end of a deduplication window, in timer ticks. */
    private static final int MARGIN_TICKS = 2;

    /** Returns whether an attempt obeys every rule; checked again right before each attempt is sent. */
    boolean permits(Task task, Worker worker) {
        return !task.closed && worker.ready && hasAttemptsLeft(task) && !isDeadlineReached(task)
                && (task.openAttempts == 0 || context.settings.mayHedge) && slowStart.permits(worker)
                && allowsAttempt(task, worker) && (task.attempts.isEmpty() || isWithinRetryBudget(task));
    }

    private boolean hasAttemptsLeft(Task task) {
        return task.attempts.size() < context.settings.maxAttempts;
    }

    /** Returns whether the deadline is so near that only the final answer may still be sent. */
    boolean isDeadlineReached(Task task) {
        return !context.now().before(finalAnswerAt(task));
    }

    /** Returns when the final answer is due: a margin before the deadline. */
    Moment finalAnswerAt(Task task) {
        return task.deadline.minus(context.settings.tick.times(MARGIN_TICKS));
    }

    /**
     * Returns whether the retry budget allows a further attempt at the task. One attempt in the window is
     * reserved for each type that has had none yet: types of lower priority, and types that have had one
     * already, may not use it. Thus a burst of one type's retries does not use up the budget of another.
     * Types are compared by identity, since two of them may have equal rows.
     */
    @SuppressWarnings("ReferenceEquality")
    private boolean isWithinRetryBudget(Task task) {
        double remaining = budget.remaining(context.now());
        boolean usedByOwnType = budget.isUsedBy(task.type);
        for (TrafficType other : context.settings.types) {
            boolean hasPrecedence =
                    other != task.type
                            && (usedByOwnType || other.priorityWeight() > task.type.priorityWeight());
            remaining -= hasPrecedence && !budget.isUsedBy(other) ? 1 : 0;
        }
        return !budget.isEnabled() || remaining >= 1;
    }

    /**
     * Returns whether the type's placement allows the worker; checked at sampling and before each attempt.
     */
    static boolean allowsPlacement(TrafficType type, Worker worker) {
        return (type.allowedZones() == null || type.allowedZones().contains(worker.zone))
                && (type.allowedKinds() == null || type.allowedKinds().contains(worker.kind));
    }

    /** Returns whether the traffic type allows a further attempt at the worker, after the attempts so far. */
    boolean allowsAttempt(Task task, Worker worker) {
        if (!allowsPlacement(task.type, worker)) {
            return false;
        }
        for (Attempt attempt : task.attempts) {
            if (attempt.neverRan) {
                continue;
            }
            boolean inFlightThere = !attempt.ended && attempt.worker == worker;
            if (inFlightThere || !task.type.mayRepeat()) {
                return false;
            }
            boolean isDeduplicated =
                    attempt.worker.sharesDeduplicationScope(worker, task.type.deduplicationScope())
                            && isInDeduplicationWindow(attempt);
            if (!task.type.isIdempotent() && !isDeduplicated) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether a repeat of the attempt would still be dropped, with a margin. */
    private boolean isInDeduplicationWindow(Attempt attempt) {
        Span margin = context.settings.tick.times(MARGIN_TICKS);
        return context.now()
                .before(attempt.sentAt.plus(attempt.task.type.deduplicationWindow()).minus(margin));
    }

    /** Returns whether the task may have several attempts in flight at once, at some workers at least. */
    boolean mayHedge(Task task) {
        return context.settings.mayCancel && context.settings.mayHedge && task.type.mayRepeat();
    }

    /** Returns whether the task may queue at any second worker. */
    boolean mayHedgeAnywhere(Task task) {
        return mayHedge(task) && task.type.mayRepeatAnywhere();
    }

    /** Returns whether an attempt may have run and repeats are dropped only within a zone or a cell. */
    boolean mustStayInDeduplicationScope(Task task) {
        return task.type.mayRepeat() && !task.type.mayRepeatAnywhere() && task.mayHaveRun();
    }

    /** Returns whether a task in flight may get a further attempt, at some workers at least. */
    boolean mayRetry(Task task) {
        return mayHedge(task) && hasAttemptsLeft(task) && (task.type.isIdempotent()
                || task.attempts.stream()
                        .allMatch(attempt -> attempt.neverRan || isInDeduplicationWindow(attempt)));
    }

    /** Returns whether the task may be rejected, which invites its client to retry. */
    boolean mayReject(Task task) {
        return task.type.mayRepeatAnywhere() || !task.mayHaveRun();
    }

    /** Makes a removed worker ready again once it is heard from, where removal is advisory. */
    void onContact(Worker worker) {
        if (context.settings.removalIsAdvisory && worker.removed && !worker.ready) {
            context.workers.setReady(worker, true);
        }
    }

    /** Makes a removed worker that was ready again not ready: the failure confirms the endpoint list. */
    void onConnectionFailure(Worker worker) {
        if (worker.removed && worker.ready) {
            context.workers.setReady(worker, false);
        }
    }
}
