package rampshift.policy;

import rampshift.time.Span;

/** Decides the next action for a task by asking the other parts of the policy in a fixed order. */
record TaskPolicy(PolicyContext context, Eligibility eligibility, EndpointListPolicy endpointListPolicy,
        ExpectedValue value, OutlierEjection ejection, RetryPolicy retries,
        RedundantToIdleQueue redundantToIdle) {

    TaskAction next(Task task) {
        if (eligibility.isDeadlineReached(task)) {
            return TaskAction.GIVE_UP;
        }
        if (endpointListPolicy.isAwaited()) {
            return awaitList(task);
        }
        if (task.openAttempts == 0 && ejection.likelyFailsAnywhere(task)) {
            return TaskAction.GIVE_UP;
        }
        Worker hedge = retries.pollHedge(task);
        if (hedge != null) {
            return new TaskAction.Forward(hedge);
        }
        return task.openAttempts == 0 ? redundantToIdle.place(task) : review(task);
    }

    /** Parks the task until the endpoint list arrives; gives it up once it could no longer end in time. */
    private TaskAction awaitList(Task task) {
        Span left = value.timeLeft(task).minus(context.runs.expected(task));
        if (task.openAttempts == 0 && left.micros() <= 0) {
            return TaskAction.GIVE_UP;
        }
        context.tasks.park(task);
        if (task.openAttempts == 0) { // attempts in flight need no decision before the list arrives
            context.tasks.decideAt(context.after(left), task);
        }
        return TaskAction.WAIT;
    }

    private TaskAction review(Task task) {
        Review review = retries.review(task);
        Worker worker = review == Review.RETRY ? redundantToIdle.sampleForRetry(task) : null;
        if (worker == null) {
            return review == Review.GIVE_UP ? TaskAction.GIVE_UP : TaskAction.WAIT;
        }
        retries.onRetry(task);
        return new TaskAction.Forward(worker);
    }
}
