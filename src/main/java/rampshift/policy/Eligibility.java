package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** Owns the rules on attempts: effect, idempotency window, placement, drain and retry budget. */
record Eligibility(PolicyContext context, RetryBudget budget, SlowStart slowStart) {

    private static final int MARGIN_TICKS = 2; // before a deadline, or the end of an idempotency window

    /** Every rule that an attempt must keep; asked again right before each is sent. */
    boolean permits(Task task, Worker worker) {
        return !task.closed && worker.ready && hasAttemptsLeft(task) && !isDeadlineReached(task)
                && (task.openAttempts == 0 || context.settings.mayHedge) && slowStart.permits(worker)
                && allowsAttempt(task, worker) && (task.attempts.isEmpty() || isWithinRetryBudget(task));
    }

    private boolean hasAttemptsLeft(Task task) {
        return task.attempts.size() < context.settings.maxAttempts;
    }

    /** Its deadline is so near that only the final answer is left. */
    boolean isDeadlineReached(Task task) {
        return !context.now().before(finalAnswerAt(task));
    }

    Moment finalAnswerAt(Task task) {
        return task.deadline.minus(context.settings.tick.times(MARGIN_TICKS));
    }

    /**
     * Each type's first further attempt in the span is kept from cheaper types, and from any that has had its
     * own: no flood of one uses up what the next needs. Two types may have equal rows.
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

    /** Placement: where a traffic type may run at all. The draw goes by it, and each attempt asks again. */
    static boolean allowsPlacement(TrafficType type, Worker worker) {
        return (type.allowedZones() == null || type.allowedZones().contains(worker.zone))
                && (type.allowedKinds() == null || type.allowedKinds().contains(worker.kind));
    }

    /** What the traffic type allows at this worker, after the attempts so far. */
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

    private boolean isInDeduplicationWindow(Attempt attempt) {
        Span margin = context.settings.tick.times(MARGIN_TICKS);
        return context.now()
                .before(attempt.sentAt.plus(attempt.task.type.deduplicationWindow()).minus(margin));
    }

    boolean mayHedge(Task task) {
        return context.settings.mayCancel && context.settings.mayHedge && task.type.mayRepeat();
    }

    /** It may queue at a second worker, whichever that is. */
    boolean mayHedgeAnywhere(Task task) {
        return mayHedge(task) && task.type.mayRepeatAnywhere();
    }

    /** One of its attempts may have run, and it may go further only where a repeat is dropped. */
    boolean mustStayInDeduplicationScope(Task task) {
        return task.type.mayRepeat() && !task.type.mayRepeatAnywhere() && task.mayHaveRun();
    }

    /** Whether any further attempt could be lawful, at whichever worker. */
    boolean mayRetry(Task task) {
        return mayHedge(task) && hasAttemptsLeft(task) && (task.type.isIdempotent()
                || task.attempts.stream()
                        .allMatch(attempt -> attempt.neverRan || isInDeduplicationWindow(attempt)));
    }

    /** Whether a rejection, after which the client may come again, is lawful. */
    boolean mayReject(Task task) {
        return task.type.mayRepeatAnywhere() || !task.mayHaveRun();
    }

    /** Where removal is advisory, a removed worker that is heard from may be sent to again. */
    void onContact(Worker worker) {
        if (context.settings.removalIsAdvisory && worker.removed && !worker.ready) {
            context.workers.setReady(worker, true);
        }
    }

    /** A removed worker that was sent to again has failed: the endpoint list was right. */
    void onConnectionFailure(Worker worker) {
        if (worker.removed && worker.ready) {
            context.workers.setReady(worker, false);
        }
    }
}
