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
 * The rule that a dispatcher sends no attempt to a worker after a grace period from the notification that the
 * worker is draining or removed. Events must be passed in the order of {@link LogEvent#occurredAt()}: an
 * attempt begins with its first byte, which may arrive before events whose lines precede the line of the
 * attempt.
 */
final class DrainRule implements LogEventListener {
    private final RuleTally tally = new RuleTally("drains kept");
    private final Map<Integer, KnownEndpoints> endpoints = new HashMap<>();
    private final long limitMicros;

    /** The state of workers as discovery agents and other dispatchers reported it to one dispatcher. */
    private static final class KnownEndpoints {
        private final Set<String> workers = new HashSet<>();
        /** When the dispatcher was first notified that a worker is draining or removed, by worker. */
        private final Map<String, Long> removedAt = new HashMap<>();
        /** The workers in the full list that is being sent; null if none is being sent. */
        private Set<String> fullList;
    }

    /**
     * Creates the rule.
     *
     * @param graceMicros how long after the notification of a drain attempts may still begin, in microseconds
     * @param slackMicros the tolerance added to the grace period, in microseconds
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
            tally.countBreach(event.worker() + " received " + event.request() + " from dispatcher "
                    + event.dispatcher() + " "
                    + TimeUnit.MICROSECONDS.toMillis(event.firstByteAt() - removedAt)
                    + " ms after the notification of its drain or removal");
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
