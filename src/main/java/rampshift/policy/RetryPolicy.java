package rampshift.policy;

import rampshift.time.Span;

/** Decides when a task in flight is retried or hedged, and limits such attempts by a token bucket. */
final class RetryPolicy {
    /** Tokens for hedges and retries that each first attempt adds. */
    private static final double TOKENS_PER_FIRST_ATTEMPT = 0.2;
    /** Number of tokens that can be saved up. */
    private static final double MAX_TOKENS = 10;
    /** Tokens that hedges leave to retries. */
    private static final double RETRY_RESERVE_TOKENS = 2;
    /**
     * Cost of a wasted run, in values of a mean task, for which a hedge takes one token; a hedge takes at
     * least one.
     */
    private static final double WASTED_WORK_COST_PER_TOKEN = 0.05;
    /**
     * Tokens that a further attempt at another worker costs while the last one has not started, if workers
     * report starts. It wastes little work, since the first start cancels the attempts that still queue.
     */
    private static final double UNSTARTED_RETRY_TOKENS = 0.1;
    /** Cost of crossing zones, in values of a mean task, above which hedges stay in the own zone. */
    private static final double HEDGE_MAX_CROSS_ZONE_COST = 0.1;
    /** Number of progress intervals without a message after which an attempt counts as lost. */
    private static final double LOSS_PROGRESS_INTERVALS = 1.5;
    /** Time between two reviews of a task that runs, in mean running times. */
    private static final double REVIEW_INTERVAL_MEAN_RUNS = 0.5;

    private final PolicyContext context;
    private final WorkerEstimates estimates;
    private final ExpectedValue value;
    private final Eligibility eligibility;
    private final OutlierEjection ejection;
    private final WorkerObserver observer;
    private final Admission admission;
    /** Tokens for a hedge, or for the retry of an attempt that runs: both may waste a whole run. */
    private final double hedgeTokens;
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

    /** Adds the tokens of a first attempt. */
    void onFirstAttempt() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_FIRST_ATTEMPT);
    }

    /**
     * Returns whether a hedged copy should go to the sampled worker: the worker is idle and good, or it is
     * ejected with nothing in flight, and the copy tests whether it has recovered.
     */
    boolean shouldHedge(Task task, Worker worker) {
        boolean crossingIsCostly = context.settings.crossZoneCost > HEDGE_MAX_CROSS_ZONE_COST;
        if (!eligibility.mayHedge(task) || (crossingIsCostly && !context.isOwnZone(worker))) {
            return false;
        }
        boolean testsEjectedWorker = worker.recoveryLimit > 0 && worker.attempts.isEmpty();
        return testsEjectedWorker
                || (estimates.isIdle(worker, task) && value.isGood(task, value.ofAttempt(task, worker)));
    }

    /** Takes the tokens of the next hedged copy and returns its worker; null where none is left. */
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

    /** Cancels an attempt. */
    void cancel(Attempt attempt) {
        attempt.cancelled = true;
        observer.onAttemptCancelled(attempt);
        context.tasks.cancel(attempt);
    }

    /**
     * Reviews a task in flight, and schedules its next review. The task is retried if all its open attempts
     * are overdue or at silent workers, as far as a retry is allowed and there are tokens for it. It is given
     * up if no open attempt is expected to be answered and no retry is allowed, or if it only holds slots
     * without value.
     */
    Review review(Task task) {
        boolean allStuck = true;
        boolean noAnswerExpected = true;
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
            return Review.GIVE_UP; // an answer at the deadline would leave the client no time for a retry
        }
        boolean shouldRetry = allStuck && eligibility.mayRetry(task) && tokens >= retryTokens(last);
        return shouldRetry ? Review.RETRY : Review.KEEP;
    }

    /**
     * Marks an attempt as lost once its progress messages stop. A lost attempt must not count towards the
     * load and the speed of its worker: counted as slow runs on full workers, lost attempts led to the
     * rejection of half of all tasks.
     */
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

    /**
     * Returns whether an attempt should have started or ended by now, or its worker is silent. An overdue
     * start also shows that a report of an idle slot was wrong.
     */
    private boolean isStuck(Attempt attempt) {
        if (estimates.isStartOverdue(attempt)) {
            observer.onIdleReportChecked(attempt, false);
            return true;
        }
        boolean isSlow = attempt.startedAt != null
                && context.since(attempt.startedAt).longerThan(estimates.overdueRun(attempt));
        return isSlow || ejection.isSilent(attempt.worker);
    }

    /** Returns the tokens for a retry, by the state of the last open attempt. */
    private double retryTokens(Attempt last) {
        return last.startedAt != null ? hedgeTokens
                : context.settings.reportsStart ? UNSTARTED_RETRY_TOKENS : 1;
    }

    /** Takes the tokens for a further attempt at a task in flight. */
    void onRetry(Task task) {
        tokens -= retryTokens(task.lastOpenAttempt());
    }
}
