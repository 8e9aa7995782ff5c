package rampshift.testbed.verification;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rampshift.testbed.verification.RequestEvent.RunStarted;

/** The rule that a task that is not idempotent runs at most once, over all requests for it. */
final class SingleEffectRule {
    private final RuleTally tally = new RuleTally("no effect twice");

    Verdict.Rule result() {
        return tally.result();
    }

    /** Checks the tasks of all requests. */
    void check(Collection<ClientRequest> requests) {
        Map<String, List<ClientRequest>> requestsOfTasks = new TreeMap<>();
        for (ClientRequest request : requests) {
            if (request.isSent() && !request.isIdempotent()) {
                requestsOfTasks.computeIfAbsent(request.sent().task(), absent -> new ArrayList<>())
                        .add(request);
            }
        }
        requestsOfTasks.values().forEach(this::checkTask);
    }

    private void checkTask(List<ClientRequest> requests) {
        requests.sort(Comparator.comparingLong(request -> request.sent().at()));
        boolean isCase = false;
        boolean ranBefore = false;
        // A client that retries a request that was not rejected accepts the risk of a second run.
        boolean onlyRejectedBefore = true;
        for (ClientRequest request : requests) {
            boolean reachedWorker = !request.attempts().isEmpty();
            isCase |= request.attempts().size() > 1 || (request.isRejected() && reachedWorker);
            checkRuns(request, ranBefore && onlyRejectedBefore);
            ranBefore |= !request.runs().isEmpty();
            onlyRejectedBefore &= request.isRejected();
        }
        if (isCase) {
            tally.countCase();
        }
    }

    private void checkRuns(ClientRequest request, boolean ranBeforeRejection) {
        List<RunStarted> runs = request.runs();
        if (runs.size() > 1) {
            tally.countBreach(runs.size() + " runs of " + request.describe() + " at "
                    + runs.stream().map(RunStarted::worker).toList());
        } else if (ranBeforeRejection && !runs.isEmpty()) {
            tally.countBreach("a run of " + request.describe() + ", after a run in a rejected request");
        } else if (request.isRejected() && !runs.isEmpty()
                && request.sent().effect() == Effect.SIDE_EFFECTING) {
            tally.countBreach("rejected after a run: " + request.describe());
        }
    }
}
