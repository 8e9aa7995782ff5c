package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Decides when to subscribe to the endpoint list, and when tasks wait for a list since the known one is
 * outdated.
 */
final class EndpointListPolicy {
    /**
     * Mean delay of a new subscription as a share of the allowed delay; jitter adds or subtracts up to half
     * of it.
     */
    private static final double RESUBSCRIBE_DELAY_SHARE = 0.2;

    private final PolicyContext context;
    private Moment subscribeAt;
    /** From when on tasks wait for the next list; null while no list is awaited. */
    private Moment awaitedFrom;

    EndpointListPolicy(PolicyContext context) {
        this.context = context;
        if (context.settings.endpointListOnRequest) {
            subscribeAfter(Span.ZERO);
        }
    }

    /**
     * Makes tasks wait for the next endpoint list, or for the report that none comes: at once if the known
     * list may be outdated, else after the drain grace period. Workers may have drained while the dispatcher
     * or its discovery service changed, as in a restart of the whole fleet, and must not be sent tasks by the
     * old list. Drawback: a discovery service that does not answer delays all tasks.
     */
    void onListAwaited(boolean mayBeOutdated) {
        awaitedFrom = mayBeOutdated ? context.now() : context.after(context.settings.drainGrace);
    }

    void onListBegin(EndpointListKind kind) {
        awaitedFrom = null;
        if (kind == EndpointListKind.FAILED) {
            // Jitter keeps a restart of all dispatchers from overloading the discovery service.
            double share = RESUBSCRIBE_DELAY_SHARE * (0.5 + context.random.next());
            subscribeAfter(context.settings.maxSubscribeDelay.times(share));
        }
    }

    private void subscribeAfter(Span wait) {
        subscribeAt = context.after(wait);
        context.tasks.wakeUpAt(subscribeAt);
    }

    /** Returns whether tasks have to wait for the next endpoint list. */
    boolean isAwaited() {
        return awaitedFrom != null && !context.now().before(awaitedFrom);
    }

    /** Returns whether to subscribe now; true once for each subscription. */
    boolean pollSubscription() {
        if (subscribeAt == null || context.now().before(subscribeAt)) {
            return false;
        }
        subscribeAt = null;
        return true;
    }
}
