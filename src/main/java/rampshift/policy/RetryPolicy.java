package rampshift.policy;

import rampshift.time.Span;

/** Owns when a task in flight is retried or hedged, and the tokens that pay for such attempts. */
final class RetryPolicy {
    private static final double TOKENS_PER_FIRST_ATTEMPT = 0.2; // hedges and retries, per first attempt
    private static final double MAX_TOKENS = 10;
    private static final double RETRY_RESERVE_TOKENS = 2; // that hedges leave to retries
    // at a higher price a hedge counts as several
    private static final double WASTED_WORK_COST_PER_TOKEN = 0.05;
    private static final double UNSTARTED_RETRY_TOKENS = 0.1; // for a place in a queue that nobody reports
    private static final double HEDGE_MAX_CROSS_ZONE_COST = 0.1;
    private static final double LOSS_PROGRESS_INTERVALS = 1.5;
    private static final double REVIEW_INTERVAL_MEAN_RUNS = 0.5; // between two reviews of a task that runs

    private final PolicyContext context;
    private final WorkerEstimates estimates;
    private final ExpectedValue value;
    private final Eligibility eligibility;
    private final OutlierEjection ejection;
    private final WorkerObserver observer;
    private final Admission admission;
    private final double hedgeTokens; // a hedge that runs is waste, a second place in a queue is not
    private double tokens = 1;

    RetryPolicy(PolicyContext context, WorkerEstimates estimates, ExpectedValue value,
            Eligibility eligibility, OutlierEjection ejection, WorkerObserver observer, Admission admission) {
        this.context = context;
        this.estimates = estimates;
        this.value = value;
        this.eligibility = eligibility;
        this.ejection = ejection;
        this.observer = observer;
        this.admission = admission;
        hedgeTokens = Math.max(1, context.settings.wastedWorkCost / WASTED_WORK_COST_PER_TOKEN);
    }

    void onFirstAttempt() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_FIRST_ATTEMPT);
    }

    /** Whether a hedge to the drawn worker is worth its price. */
    boolean shouldHedge(Task task, Worker worker) {
        boolean crossingIsCostly = context.settings.crossZoneCost > HEDGE_MAX_CROSS_ZONE_COST;
        if (!eligibility.mayHedge(task) || (crossingIsCostly && !context.isOwnZone(worker))) {
            return false;
        }
        boolean testsEjectedWorker = worker.recoveryLimit > 0 && worker.attempts.isEmpty();
        return testsEjectedWorker
                || (estimates.isIdle(worker, task) && value.isGood(task, value.ofAttempt(task, worker)));
    }

    /** The next worker that a hedge goes to, its tokens spent; null where none is left. */
    Worker pollHedge(Task task) {
        while (!task.hedgeTargets.isEmpty()) {
            Worker worker = task.hedgeTargets.poll();
            if (tokens >= hedgeTokens + RETRY_RESERVE_TOKENS && eligibility.permits(task, worker)) {
                tokens -= hedgeTokens;
                return worker;
            }
        }
        return null;
    }

    void cancel(Attempt attempt) {
        attempt.cancelled = true;
        observer.onAttemptCancelled(attempt);
        context.tasks.cancel(attempt);
    }

    /** Is a task in flight lost or late where it is, and would another worker still be in time? */
    Review review(Task task) {
        boolean allStuck = true;
        boolean noAnswerExpected = true; // no answer is counted on any more
        Attempt last = null;
        for (Attempt attempt : task.attempts) {
            if (!attempt.ended && !attempt.cancelled) {
                last = attempt;
                detectLoss(attempt);
                noAnswerExpected &=
                        attempt.lost && (attempt.startedAt != null || ejection.isSilent(attempt.worker));
                allStuck &= isStuck(attempt);
            }
        }
        if (last == null) {
            return Review.KEEP;
        }
        Span untilReview = last.startedAt == null ? estimates.startLimit(last)
                : context.runs.mean().times(REVIEW_INTERVAL_MEAN_RUNS);
        context.tasks.reviewAt(context.after(untilReview).plus(context.settings.tick), context.now(), task);
        if (admission.holdsSlotsWithoutValue(task, last.worker)
                || (noAnswerExpected && !eligibility.mayRetry(task))) {
            return Review.GIVE_UP; // held to its deadline, its client could not come back in time
        }
        boolean shouldRetry = allStuck && eligibility.mayRetry(task) && tokens >= retryTokens(last);
        return shouldRetry ? Review.RETRY : Review.KEEP;
    }

    /** No answer will come: such counted as slow runs and full workers, and half of all was rejected. */
    private void detectLoss(Attempt attempt) {
        Span interval = context.settings.progressInterval;
        if (interval.micros() > 0 && !attempt.lost
                && context.since(attempt.lastHeardOfAt())
                        .longerThan(interval.times(LOSS_PROGRESS_INTERVALS))) {
            attempt.lost = true;
            context.zoneOf(attempt.worker).reached.put(context.now(), 0);
            if (attempt.startedAt == null && !ejection.isSilent(attempt.worker)) {
                attempt.worker.typesLostAt.put(attempt.task.typeIndex, context.now());
            }
        }
    }

    private boolean isStuck(Attempt attempt) {
        if (estimates.isStartOverdue(attempt)) {
            observer.onIdleReportChecked(attempt, false);
            return true;
        }
        boolean isSlow = attempt.startedAt != null
                && context.since(attempt.startedAt).longerThan(estimates.overdueRun(attempt));
        return isSlow || ejection.isSilent(attempt.worker);
    }

    private double retryTokens(Attempt last) {
        return last.startedAt != null ? hedgeTokens
                : context.settings.reportsStart ? UNSTARTED_RETRY_TOKENS : 1;
    }

    /** An attempt more is sent of a task in flight. */
    void onRetry(Task task) {
        tokens -= retryTokens(task.lastOpenAttempt());
    }
}
