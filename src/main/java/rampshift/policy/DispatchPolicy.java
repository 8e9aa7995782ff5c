package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * The policy as its hosts call it: where a task goes, when it is retried, when it is rejected or fails.
 *
 * <p>A host sets the time and reports what it observed through the {@code on...} methods, which only update
 * what is known. Then it calls {@link #decideNext} until that is false; each call that is true made one call
 * on the {@link Decisions}. This class hands inputs to the parts and carries out what they decide. The
 * mechanism is {@link RedundantToIdleQueue}; docs/design.md tells what was kept and why.
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
    /** When the host was asked to call {@link #onTimer}; null where it was not. */
    private Moment wakeAt;
    /** Up to when timers are due; later ones wait for {@link #onTimer}. */
    private Moment dueUntil;

    /** Makes a policy that knows no worker yet. */
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

    // ---- inputs: what is known

    /** Sets the time of the inputs and decisions that follow. */
    public void setNow(Moment now) {
        context.setNow(now);
    }

    /** The endpoint list is asked for anew; {@code longSince}: it may have had news for long. */
    public void onEndpointListAwaited(boolean mayBeOutdated) {
        endpointListPolicy.onListAwaited(mayBeOutdated);
    }

    /** An endpoint list begins, or is known not to come. Its entries follow, then its end. */
    public void onEndpointListBegin(EndpointListKind kind) {
        endpointListPolicy.onListBegin(kind);
        if (kind == EndpointListKind.FULL || kind == EndpointListKind.CACHED) {
            context.workers.beginFullList();
        }
    }

    /** An entry of the list that has begun. */
    public void onEndpoint(ListedWorker entry) {
        Worker worker = context.workers.put(entry);
        observer.onListedWeight(worker, entry.weight());
    }

    /** The list that had begun is over. */
    public void onEndpointListEnd() {
        context.workers.endList();
        tasks.unparkAll();
    }

    /** A task was taken. Its id is new, its type one of the settings. */
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

    /** A worker has told that it runs the attempt. */
    public void onAttemptStarted(long id, int number) {
        Attempt attempt = tasks.find(id, number);
        if (attempt != null && attempt.startedAt == null) {
            attempt.startedAt = context.now();
            onContact(attempt.worker);
            observer.onAttemptStarted(attempt);
            value.onAttemptStarted(attempt);
            redundantToIdle.cancelRest(attempt.task); // what still queues elsewhere is not needed
        }
    }

    /** A worker has told what share of the attempt's work is done, 0 to 1. */
    public void onAttemptProgress(long id, int number, double completedShare) {
        Attempt attempt = tasks.find(id, number);
        if (attempt != null) {
            observer.onAttemptProgress(attempt, completedShare);
            onContact(attempt.worker);
        }
    }

    /** A worker has told its load, in slots and units of memory; what it does not tell is NaN. */
    public void onLoadReport(long workerId, double free, double queued, double running, double freeMemory) {
        Worker worker = context.workers.get(workerId);
        if (worker != null) {
            observer.onLoadReport(worker, free, queued, running, freeMemory);
        }
    }

    /** A probe was answered, or has failed. */
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

    /** An attempt has ended; {@code terminal}: its task has its final answer with it. */
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

    /** The task's client has left: no answer is owed any longer. */
    public void onClientDisconnected(long id) {
        Task task = tasks.find(id);
        if (task != null) {
            close(task);
        }
    }

    /** The dispatcher ends: the task gets its final answer now, as at its deadline. */
    public void onShutdown(long id) {
        Task task = tasks.find(id);
        if (task != null && !task.closed) {
            task.deadline = context.now();
            tasks.enqueue(task);
        }
    }

    /**
     * The moment has come that {@link Decisions#wakeAt} asked for, and all that was observed before it has
     * been told. What is due by then is decided now, and by no other input: what is heard first may be what
     * it waits for.
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

    /** Makes one call on the decisions where one is due; false once there is none for now. */
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

    /** False where there was nothing to do. */
    private boolean carryOut(TaskAction action, Task task, Decisions decisions) {
        if (action instanceof TaskAction.Forward forward) {
            send(task, forward.worker(), decisions);
        } else if (action instanceof TaskAction.Probe probe) {
            probe.worker().probedAt = context.now();
            tasks.enqueueFirst(task);
            decisions.probe(probe.worker().id);
        } else if (action instanceof TaskAction.GiveUp giveUp) {
            if (giveUp.noWorkerPermitted()) {
                slowStart.earnCredit(context.runs.costInMeanRuns(task)); // a fleet all cold would get nothing
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

    /** The one place of final answers from here: rejected where that is lawful, else failed. */
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

    /** A final answer was given, or is no longer owed: what is still in flight is cancelled. */
    private void close(Task task) {
        task.closed = true;
        task.hedgeTargets.clear();
        redundantToIdle.cancelRest(task);
        if (task.openAttempts == 0) {
            tasks.remove(task);
        }
    }
}
