package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** Owns what sending a task to a worker is expected to earn: value, odds of an answer in time, and costs. */
record ExpectedValue(PolicyContext context, WorkerEstimates estimates, Eligibility eligibility) {

    static final double GOOD_VALUE_SHARE = 0.5; // of the task's value: a candidate worth less is not good
    private static final double RUN_SPREAD_SHARE = 0.2; // how far a prediction is off, in running times
    private static final double WAIT_SPREAD_SHARE = 0.5; // and in predicted waits
    // mean values a mean run, were all to wait for ever
    private static final double MAX_QUEUE_COST_MEAN_VALUES = 4;
    private static final double LATENCY_COST_SHARE = 0.02; // of the value, for each due time until the answer
    private static final double LATENCY_COST_MAX_OBJECTIVES = 5;
    private static final int MIN_TYPE_RUNS = 3;

    /** Where nothing is reported, a task's first start tells of the queues that it stood in. */
    void onAttemptStarted(Attempt attempt) {
        Task task = attempt.task;
        if (!context.settings.reportsLoad && eligibility.mayHedgeAnywhere(task)
                && task.attempts.stream().noneMatch(other -> other != attempt && other.startedAt != null)) {
            // As old as the queue that it tells of. Tasks bound to a few workers don't count: with
            // their waits alone 89 in 100 tasks were rejected by a fleet half idle.
            Moment sentAt = task.attempts.get(0).sentAt;
            context.history.startDelaysMs.put(sentAt, context.since(sentAt).millis());
        }
    }

    /** Until the task's latency objective, or its deadline where that is sooner; below zero: it is late. */
    Span timeLeft(Task task) {
        Span objective = task.type.latencyObjective()
                .plus(context.runs.expected(task).times(task.type.latencySlackFactor()));
        return task.firstRequestedAt.plus(objective).orEarlier(task.deadline).since(context.now());
    }

    double ofTask(Task task) {
        boolean byWork = context.settings.valueScalesWithWork && task.runHint.micros() > 0;
        double work = byWork ? context.runs.expected(task).over(context.runs.mean()) : 1;
        return task.type.priorityWeight() * work * (1 - task.quotaDiscount);
    }

    boolean isGood(Task task, double attemptValue) {
        return attemptValue >= GOOD_VALUE_SHARE * ofTask(task);
    }

    /** The value to be expected from sending the task there now, less its costs. */
    double ofAttempt(Task task, Worker worker) {
        Span wait = estimates.wait(worker, task.slots);
        Span run = estimates.run(worker, task);
        Span end = wait.plus(run);
        double inTimeProbability = inTimeProbability(task, wait, run);
        double lateShare =
                task.deadline.since(context.now()).longerThan(end) ? task.type.lateValueShare() : 0;
        double value = ofTask(task);
        return value
                * (successProbability(task, worker)
                        * (inTimeProbability + (1 - inTimeProbability) * lateShare))
                - connectionCost(worker)
                - queueCost(task, wait)
                - LATENCY_COST_SHARE * value
                        * Math.min(LATENCY_COST_MAX_OBJECTIVES, end.over(task.type.latencyObjective()));
    }

    private double successProbability(Task task, Worker worker) {
        double share = 1 - worker.failureScores.sum() / (worker.failureScores.count() + 2);
        // A link that loses is between the zones: no worker is to blame, and where all wait it is no loss.
        share *= Math.min(1, reachableShare(worker.zone) / reachableShare(context.settings.zone));
        Moment lost = worker.typesLostAt.get(task.typeIndex);
        return lost == null ? share : share * (1 - Math.exp(-context.since(lost).over(estimates.longTerm())));
    }

    private double reachableShare(int zone) {
        return estimates.longTermMean(context.workers.zone(zone).reached, 1);
    }

    private double connectionCost(Worker worker) {
        double crossing = context.isOwnZone(worker) ? 0 : context.settings.crossZoneCost;
        boolean connected = worker.hasIdleConnection(context.now(), context.settings.connectionIdleTimeout);
        double opening = connected ? 0 : context.settings.handshakeCost;
        return context.history.values.mean(1) * (crossing + opening);
    }

    /** A task that queues delays all behind it, the more the longer it runs and the longer the queue. */
    private double queueCost(Task task, Span wait) {
        double share = wait.over(wait.plus(context.runs.mean()));
        if (!context.settings.reportsLoad) {
            // The last tasks tell of queues: by own slots alone wide ones were rejected by idle workers.
            double recentDelayMs = estimates.shortTermMean(context.history.startDelaysMs, 0);
            Span recentDelay = wait.orShorter(Span.ofMillis(recentDelayMs));
            Span objective = Span.ofMillis(
                    context.history.latencyObjectivesMs.mean(task.type.latencyObjective().millis()));
            double delayShare = recentDelay.over(recentDelay.plus(objective));
            // little while waits are short against due times, then steep
            share = MAX_QUEUE_COST_MEAN_VALUES * delayShare * delayShare;
        }
        return share * (context.history.values.mean(1) * context.runs.costInMeanRuns(task));
    }

    /** How likely it is to end in time. With little time left it may run what any of its type's last ran. */
    private double inTimeProbability(Task task, Span wait, Span run) {
        SampleWindow ran = context.runs.ofType(task);
        Span left = timeLeft(task);
        if (!task.arrivedLate || task.runHint.micros() > 0 || ran.count() < MIN_TYPE_RUNS) {
            return inTimeProbability(left, wait, run);
        }
        double slowdown = run.over(context.runs.expected(task));
        double sum = 0;
        for (int i = 0; i < ran.count(); i++) {
            sum += inTimeProbability(left, wait, Span.ofMillis(ran.get(i) * slowdown));
        }
        return sum / ran.count();
    }

    private double inTimeProbability(Span left, Span wait, Span run) {
        Span spread = run.times(RUN_SPREAD_SHARE).plus(wait.times(WAIT_SPREAD_SHARE))
                .orLonger(context.settings.tick);
        return 1 / inverseLogistic(left.minus(wait).minus(run), spread);
    }

    /** One over a smooth step from 0 to 1, of that spread. */
    private static double inverseLogistic(Span slack, Span spread) {
        return 1 + Math.exp(-slack.over(spread));
    }

    /** How likely it is to end in time, by how late the last tasks started that could go on elsewhere. */
    double inTimeProbabilityByStarts(Task task, Worker worker) {
        Span run = estimates.run(worker, task);
        if (context.settings.reportsLoad) {
            return inTimeProbability(task, estimates.wait(worker, task.slots), run);
        }
        DecayingSamples starts = eligibility.mayHedgeAnywhere(task) ? context.history.startDelaysMs
                : worker.kindStatistics.startDelaysMs;
        Span slack = timeLeft(task).minus(run);
        Span spread = run.times(RUN_SPREAD_SHARE).orLonger(context.settings.tick);
        Span decayTime = estimates.shortTerm();
        double weights = WorkerEstimates.MIN_WEIGHT;
        double sum = weights / inverseLogistic(slack, spread);
        for (int i = 0; i < starts.count(); i++) {
            double weight = starts.weight(i, context.now(), decayTime);
            weights += weight;
            sum += weight / inverseLogistic(slack.minus(Span.ofMillis(starts.get(i))), spread);
        }
        return sum / weights;
    }
}
