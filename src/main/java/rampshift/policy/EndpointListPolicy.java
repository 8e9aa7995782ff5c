package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** Owns when the endpoint list is subscribed to, and when tasks wait for it as the known one is too old. */
final class EndpointListPolicy {
    private static final double RESUBSCRIBE_DELAY_SHARE = 0.2; // give or take half

    private final PolicyContext context;
    private Moment subscribeAt;
    private Moment awaitedFrom; // what the list service has may bind from then on

    EndpointListPolicy(PolicyContext context) {
        this.context = context;
        if (context.settings.endpointListOnRequest) {
            subscribeAfter(Span.ZERO);
        }
    }

    /**
     * What the list service has counts as told, long since or from now: once the grace is over nothing goes
     * by the old list until the next, or until it is known that none comes. Met when a whole fleet restarts;
     * covers any change of the list's source. Drawback: a silent source delays all tasks.
     */
    void onListAwaited(boolean mayBeOutdated) {
        awaitedFrom = mayBeOutdated ? context.now() : context.after(context.settings.drainGrace);
    }

    void onListBegin(EndpointListKind kind) {
        awaitedFrom = null;
        if (kind == EndpointListKind.FAILED) {
            // Scattered, so that a restart of all dispatchers does not overload the list service.
            double share = RESUBSCRIBE_DELAY_SHARE * (0.5 + context.random.next());
            subscribeAfter(context.settings.maxSubscribeDelay.times(share));
        }
    }

    private void subscribeAfter(Span wait) {
        subscribeAt = context.after(wait);
        context.tasks.decideAt(subscribeAt, null);
    }

    boolean isAwaited() {
        return awaitedFrom != null && !context.now().before(awaitedFrom);
    }

    /** Whether to subscribe now; true once. */
    boolean pollSubscription() {
        if (subscribeAt == null || context.now().before(subscribeAt)) {
            return false;
        }
        subscribeAt = null;
        return true;
    }
}
