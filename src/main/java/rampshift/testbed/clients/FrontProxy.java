package rampshift.testbed.clients;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;

/**
 * A model of the load balancer in front of the dispatchers. It spreads tasks uniformly over the dispatchers
 * of a site and, like a real one, keeps choosing a failed dispatcher until its health check detects the
 * failure. It has no I/O and no clock.
 */
final class FrontProxy {
    private final FleetPlan plan;
    private final List<Dispatcher> dispatchers;
    private final UniformRandomProvider random;
    /** The time from which each failed dispatcher is excluded; healthy dispatchers have no entry. */
    private final Map<Dispatcher, Moment> excludedFrom = new HashMap<>();

    /**
     * Assigns the dispatchers to the sites in the order of the plan.
     *
     * @param plan the number of dispatchers of each site, and the delay until a failure is detected
     * @param addresses where the dispatchers listen; addresses beyond the number in the plan are not used
     * @param random the source of all choices
     */
    FrontProxy(FleetPlan plan, List<InetSocketAddress> addresses, UniformRandomProvider random) {
        this.plan = plan;
        this.random = random;
        dispatchers = new ArrayList<>();
        for (int site = 0; site < plan.sites().size(); site++) {
            int count = Math.min(plan.sites().get(site).dispatchers(), addresses.size() - dispatchers.size());
            for (int i = 0; i < count; i++) {
                int number = dispatchers.size();
                dispatchers.add(new Dispatcher(number, site, addresses.get(number)));
            }
        }
    }

    /**
     * Chooses a dispatcher of a site; one of another site if all of this site are excluded, or any one if all
     * are excluded.
     */
    Dispatcher pick(int site, Moment now) {
        List<Dispatcher> local = new ArrayList<>();
        List<Dispatcher> remote = new ArrayList<>();
        for (Dispatcher dispatcher : dispatchers) {
            if (!isExcluded(dispatcher, now)) {
                List<Dispatcher> group = dispatcher.site() == site ? local : remote;
                group.add(dispatcher);
            }
        }
        List<Dispatcher> candidates = firstNonEmpty(local, remote);
        return candidates.get(random.nextInt(candidates.size()));
    }

    private boolean isExcluded(Dispatcher dispatcher, Moment now) {
        Moment from = excludedFrom.get(dispatcher);
        return from != null && !now.before(from);
    }

    private List<Dispatcher> firstNonEmpty(List<Dispatcher> local, List<Dispatcher> remote) {
        if (!local.isEmpty()) {
            return local;
        }
        return remote.isEmpty() ? dispatchers : remote;
    }

    /**
     * Records that a connection to a dispatcher was refused or lost. The dispatcher is excluded after a
     * delay, drawn at its first failure from the range in the plan.
     */
    void onFailure(Dispatcher dispatcher, Moment now) {
        if (!excludedFrom.containsKey(dispatcher)) {
            Moment from = now.plus(plan.clients().failoverDelay().at(random.nextDouble()));
            excludedFrom.put(dispatcher, from);
        }
    }

    /** Records that a dispatcher has passed its health check, and may be chosen again. */
    void onReady(Dispatcher dispatcher) {
        excludedFrom.remove(dispatcher);
    }

    /** Returns the dispatchers that have failed and not passed a health check since, by number. */
    List<Dispatcher> failedDispatchers() {
        return dispatchers.stream().filter(excludedFrom::containsKey).toList();
    }

    /** Returns all dispatchers, by number. */
    List<Dispatcher> dispatchers() {
        return dispatchers;
    }
}
