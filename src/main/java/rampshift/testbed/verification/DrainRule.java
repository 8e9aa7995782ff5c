package rampshift.testbed.verification;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import rampshift.testbed.verification.LogEvent.EndpointSent;
import rampshift.testbed.verification.LogEvent.FullListCompleted;
import rampshift.testbed.verification.LogEvent.FullListStarted;
import rampshift.testbed.verification.LogEvent.MembershipChanged;
import rampshift.testbed.verification.RequestEvent.AttemptReceived;

/**
 * The rule that a dispatcher sends no attempt to a worker once it was told that the worker drains or is gone,
 * and the grace is over. Events are to come in the order of {@link LogEvent#occurredAt()}: an attempt counts
 * from its first byte, which may have come before lines that were written earlier.
 */
final class DrainRule implements LogEventListener {
    private final RuleTally tally = new RuleTally("drains kept");
    private final Map<Integer, KnownEndpoints> endpoints = new HashMap<>();
    private final long limitMicros;

    /** What a dispatcher was told of workers. */
    private static final class KnownEndpoints {
        private final Set<String> workers = new HashSet<>();
        /** When the dispatcher was told first that a worker drains or is gone, by worker. */
        private final Map<String, Long> removedAt = new HashMap<>();
        /** The workers in the full list that is being sent; null where none is. */
        private Set<String> fullList;
    }

    /**
     * The rule, before any event.
     *
     * @param graceMicros how long after a drain was told attempts may still begin, in microseconds
     * @param slackMicros how much later than a limit something may happen, in microseconds
     */
    DrainRule(long graceMicros, long slackMicros) {
        limitMicros = graceMicros + slackMicros;
    }

    Verdict.Rule result() {
        return tally.result();
    }

    @Override
    public void onFullListStarted(FullListStarted event) {
        endpointsOf(event.dispatcher()).fullList = new HashSet<>();
    }

    @Override
    public void onEndpointSent(EndpointSent event) {
        KnownEndpoints known = endpointsOf(event.dispatcher());
        if (known.fullList != null) {
            known.fullList.add(event.worker());
        }
        known.workers.add(event.worker());
        if (event.ready()) {
            known.removedAt.remove(event.worker());
        } else {
            remove(known, event.worker(), event.at());
        }
    }

    @Override
    public void onFullListCompleted(FullListCompleted event) {
        KnownEndpoints known = endpointsOf(event.dispatcher());
        if (known.fullList == null) {
            return;
        }
        for (String worker : known.workers) {
            if (!known.fullList.contains(worker)) {
                remove(known, worker, event.at());
            }
        }
        known.fullList = null;
    }

    @Override
    public void onMembershipChanged(MembershipChanged event) {
        if (event.state().equals(MembershipChanged.DRAINING)) {
            remove(endpointsOf(event.observerNumber()), event.subject(), event.at());
        }
    }

    @Override
    public void onAttemptReceived(AttemptReceived event) {
        Long removedAt = endpointsOf(event.dispatcher()).removedAt.get(event.worker());
        if (removedAt != null && event.firstByteAt() > removedAt + limitMicros) {
            tally.countBreach(event.worker() + " got " + event.request() + " from dispatcher "
                    + event.dispatcher() + " "
                    + TimeUnit.MICROSECONDS.toMillis(event.firstByteAt() - removedAt)
                    + " ms after its end was told");
        }
    }

    private KnownEndpoints endpointsOf(int dispatcher) {
        return endpoints.computeIfAbsent(dispatcher, absent -> new KnownEndpoints());
    }

    private void remove(KnownEndpoints known, String worker, long time) {
        if (known.removedAt.putIfAbsent(worker, time) == null) {
            tally.countCase();
        }
    }
}
