package rampshift.policy;

import java.util.List;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * The interface of the policy to its hosts. It decides which workers a task is sent to, and when it is
 * retried, rejected or failed.
 *
 * <p>A host sets the time and reports events through the {@code on...} methods, which only update the state.
 * Then it calls {@link #decideNext} until that returns false; each call that returns true has made one call
 * on the {@link Decisions}. This class passes events to the parts of the policy and carries out what they
 * decide. The placement rule is {@link RedundantToIdleQueue}; docs/design.md explains the design.
 */
public final class DispatchPolicy {
    private final PolicyContext context;
    private final TaskQueue tasks;
    private final RetryBudget budget;
    private final TenantQuotas quotas;
    private final EndpointListPolicy endpointListPolicy;
    private final SlowStart slowStart;
    private final Eligibility eligibility;
    private final WorkerEstimates estimates;
    private final WorkerObserver observer;
    private final ExpectedValue value;
    private final OutlierEjection ejection;
    private final Admission admission;
    private final RedundantToIdleQueue redundantToIdle;
    private final TaskPolicy taskPolicy;
    /** When the host was last asked to call {@link #onTimer}; null if no call is pending. */
    private Moment wakeAt;
    /** Timers up to this moment are due; later ones wait for {@link #onTimer}. */
    private Moment dueUntil;

    /** Creates a policy without workers. */
    public DispatchPolicy(Settings settings, Moment now) {
        context = new PolicyContext(settings, now);
        dueUntil = now;
        tasks = context.tasks;
        budget = new RetryBudget(settings);
        quotas = new TenantQuotas(settings);
        endpointListPolicy = new EndpointListPolicy(context);
        slowStart = new SlowStart(context);
        eligibility = new Eligibility(context, budget, slowStart);
        estimates = new WorkerEstimates(context, slowStart);
        observer = new WorkerObserver(context, estimates, slowStart);
        value = new ExpectedValue(context, estimates, eligibility);
        ejection = new OutlierEjection(context, estimates);
        admission = new Admission(context, estimates, value, eligibility);
        RetryPolicy retries =
                new RetryPolicy(context, estimates, value, eligibility, ejection, observer, admission);
        FleetSweep sweep = new FleetSweep(context, slowStart, ejection);
        CandidateSampler sampler =
                new CandidateSampler(context, sweep, slowStart, eligibility, ejection, admission);
        redundantToIdle =
                new RedundantToIdleQueue(context, sampler, estimates, eligibility, value, admission, retries);
        taskPolicy = new TaskPolicy(context, eligibility, endpointListPolicy, value, ejection, retries,
                redundantToIdle);
    }

    // ---- events

    /** Sets the time of the events and decisions that follow. */
    public void setNow(Moment now) {
        context.setNow(now);
    }

    /**
     * Records that the host requests the endpoint list anew.
     *
     * @param mayBeOutdated whether the known list may have been outdated for long
     */
    public void onEndpointListAwaited(boolean mayBeOutdated) {
        endpointListPolicy.onListAwaited(mayBeOutdated);
    }

    /** Begins an endpoint list, or records that none comes. Its entries follow, then its end. */
    public void onEndpointListBegin(EndpointListKind kind) {
        endpointListPolicy.onListBegin(kind);
        if (kind == EndpointListKind.FULL || kind == EndpointListKind.CACHED) {
            context.workers.beginFullList();
        }
    }

    /** Applies an entry of the endpoint list that has begun. */
    public void onEndpoint(ListedWorker entry) {
        Worker worker = context.workers.put(entry);
        observer.onListedWeight(worker, entry.weight());
    }

    /**
     * Ends the endpoint list that has begun.
     *
     * @return the ids of workers that have long been gone, and are forgotten now
     */
    public List<Long> onEndpointListEnd() {
        context.workers.endList();
        tasks.unparkAll();
        return context.workers.forgetAbsent();
    }

    /** Records a task that has arrived. Its id is new, and its type an index into those of the settings. */
    public void onTaskArrived(long id, TaskRequest request) {
        Task task = new Task(id, context.settings.types.get(request.type()), request, context.now());
        tasks.register(task);
        context.runs.onTaskArrived(task);
        budget.onTaskArrived(context.now());
        task.quotaDiscount = quotas.onTaskArrived(request.tenant(), context.now());
        admission.onTaskArrived(task);
        context.history.onTaskArrived(task, value.ofTask(task));
        tasks.enqueue(task);
        tasks.decideAt(eligibility.finalAnswerAt(task), task);
    }

    /** Records that a worker has reported the start of an attempt's run. */
    public void onAttemptStarted(long id, int number) {
        Attempt attempt = tasks.find(id, number);
        if (attempt != null && attempt.startedAt == null) {
            attempt.startedAt = context.now();
            onContact(attempt.worker);
            observer.onAttemptStarted(attempt);
            value.onAttemptStarted(attempt);
            redundantToIdle.cancelRest(attempt.task); // attempts that still queue are not needed
        }
    }

    /** Records the share of an attempt's work that is done, 0 to 1, as its worker has reported it. */
    public void onAttemptProgress(long id, int number, double completedShare) {
        Attempt attempt = tasks.find(id, number);
        if (attempt != null) {
            observer.onAttemptProgress(attempt, completedShare);
            onContact(attempt.worker);
        }
    }

    /**
     * Records a worker's load report, in slots and units of memory; values that it lacks are NaN.
     */
    public void onLoadReport(long workerId, double free, double queued, double running, double freeMemory) {
        Worker worker = context.workers.get(workerId);
        if (worker != null) {
            observer.onLoadReport(worker, free, queued, running, freeMemory);
        }
    }

    /** Records that a probe was answered or has failed. */
    public void onProbeResult(long workerId, boolean answered) {
        Worker worker = context.workers.get(workerId);
        if (worker == null) {
            return;
        }
        worker.probeUnanswered = !answered;
        if (answered) {
            onContact(worker);
        }
        worker.awaitingProbe.stream().filter(Task::onProbeDone).forEach(tasks::enqueue);
        worker.awaitingProbe.clear();
    }

    /**
     * Records that an attempt has ended.
     *
     * @param terminal whether its task has its final answer by now
     */
    public void onAttemptEnded(long id, int number, AttemptOutcome outcome, boolean terminal) {
        Attempt attempt = tasks.find(id, number);
        if (attempt == null || attempt.ended) {
            return;
        }
        attempt.end(outcome.neverRan);
        if (outcome.neverRan) {
            slowStart.earnCredit(-attempt.creditedCostMeanRuns);
        }
        if (outcome == AttemptOutcome.NOT_SENT) {
            budget.onAttemptNotSent(attempt);
        }
        context.history.onAttemptEnded(outcome, context.now());
        observer.onAttemptEnded(attempt, outcome);
        ejection.onAttemptEnded(attempt, outcome);
        if (outcome.isConnectionFailure()) {
            eligibility.onConnectionFailure(attempt.worker);
        }
        if (outcome.isAnswer()) {
            onContact(attempt.worker);
            context.connections.onIdle(attempt.worker, context.now());
        }
        onAttemptsChanged(attempt.task, terminal);
    }

    private void onAttemptsChanged(Task task, boolean terminal) {
        if (terminal) {
            context.history.onTaskAnswered();
        }
        if (terminal || task.closed) {
            close(task);
        } else if (task.openAttempts == 0) {
            task.resetSampling();
            tasks.enqueue(task);
        }
    }

    /** Closes a task whose client has disconnected and needs no answer. */
    public void onClientDisconnected(long id) {
        Task task = tasks.find(id);
        if (task != null) {
            close(task);
        }
    }

    /** Makes the final answer of a task due now, as at its deadline, since the dispatcher shuts down. */
    public void onShutdown(long id) {
        Task task = tasks.find(id);
        if (task != null && !task.closed) {
            task.deadline = context.now();
            tasks.enqueue(task);
        }
    }

    /**
     * Makes the timers up to now due; no other event does. The host calls it at the moment requested by
     * {@link Decisions#wakeAt}, after it has reported all events observed before: one of them may be the
     * event whose absence a timer detects.
     */
    public void onTimer() {
        wakeAt = null;
        dueUntil = context.now();
    }

    private void onContact(Worker worker) {
        worker.onContact(context.now());
        eligibility.onContact(worker);
    }

    // ---- decisions

    /** Makes one call on the decisions; returns false if no decision is due now. */
    public boolean decideNext(Decisions decisions) {
        Attempt cancelled = tasks.pollCancel();
        if (cancelled != null) {
            decisions.cancel(cancelled.task.id, cancelled.number);
            return true;
        }
        tasks.enqueueDue(dueUntil);
        for (Task task = tasks.poll(); task != null; task = tasks.poll()) {
            if (carryOut(taskPolicy.next(task), task, decisions)) {
                return true;
            }
        }
        if (endpointListPolicy.pollSubscription()) {
            decisions.subscribe();
            return true;
        }
        Moment next = tasks.nextTimer();
        if (next == null || (wakeAt != null && !next.before(wakeAt))) {
            return false;
        }
        wakeAt = next;
        decisions.wakeAt(next);
        return true;
    }

    /** Carries out the action; returns false if no call on the decisions was made. */
    private boolean carryOut(TaskAction action, Task task, Decisions decisions) {
        if (action instanceof TaskAction.Forward forward) {
            send(task, forward.worker(), decisions);
        } else if (action instanceof TaskAction.Probe probe) {
            probe.worker().probedAt = context.now();
            tasks.enqueueFirst(task);
            decisions.probe(probe.worker().id);
        } else if (action instanceof TaskAction.GiveUp giveUp) {
            if (giveUp.noWorkerPermitted()) {
                // Credit is earned without an attempt: a fleet that consists of cold workers would otherwise
                // never be sent a task.
                slowStart.earnCredit(context.runs.costInMeanRuns(task));
            }
            giveUp(task, decisions);
        } else {
            return false;
        }
        return true;
    }

    private void send(Task task, Worker worker, Decisions decisions) {
        Attempt attempt = new Attempt(task, worker, context.now(), estimates.wait(worker, task.slots),
                estimates.run(worker, task));
        attempt.sentOnIdleReport = estimates.hasFreshIdleReport(worker, task);
        double cost = context.runs.costInMeanRuns(task);
        if (task.openAttempts == 0) {
            attempt.creditedCostMeanRuns = cost;
            slowStart.earnCredit(cost);
        }
        budget.onAttemptSent(attempt);
        context.runs.onSent(task, context.now());
        attempt.markSent();
        worker.idleConnections.pollLast();
        slowStart.onAttemptSent(worker, cost);
        if (task.hedgeTargets.isEmpty()) {
            Moment startDue = context.after(estimates.startLimit(attempt)).plus(context.settings.tick);
            tasks.reviewAt(startDue, context.now(), task);
        } else {
            tasks.enqueueFirst(task);
        }
        decisions.forward(task.id, worker.id, Span.ZERO);
    }

    /** Gives the task its final answer: rejected where that is allowed, else failed. */
    private void giveUp(Task task, Decisions decisions) {
        boolean mayReject = eligibility.mayReject(task);
        context.history.onTaskGivenUp(task);
        close(task);
        if (mayReject) {
            decisions.reject(task.id, admission.retryAfter());
        } else {
            decisions.fail(task.id);
        }
    }

    /** Closes a task that has its final answer or needs none, and cancels its open attempts. */
    private void close(Task task) {
        task.closed = true;
        task.hedgeTargets.clear();
        redundantToIdle.cancelRest(task);
        if (task.openAttempts == 0) {
            tasks.remove(task);
        }
    }
}
