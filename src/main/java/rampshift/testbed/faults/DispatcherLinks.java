package rampshift.testbed.faults;

import java.util.List;
import java.util.function.Consumer;
import rampshift.testbed.links.LinkFaults;
import rampshift.testbed.links.LinkProxy;
import rampshift.testbed.plan.FleetPlan;

/** The links between dispatchers, and which of them a fault affects. */
final class DispatcherLinks {
    private final LinkProxy proxy;
    private final List<String> dispatcherSites;

    /**
     * Creates a view of the links.
     *
     * @param proxy relays the traffic between dispatchers; null if dispatchers do not know one another
     * @param dispatcherSites the name of each dispatcher's site
     */
    DispatcherLinks(LinkProxy proxy, List<String> dispatcherSites) {
        this.proxy = proxy;
        this.dispatcherSites = dispatcherSites;
    }

    /** Changes the faults of all links that a fault of the plan affects. */
    void changeFaults(FleetPlan.Fault fault, Consumer<LinkFaults> change) {
        if (proxy == null) {
            return;
        }
        for (int from = 0; from < dispatcherSites.size(); from++) {
            for (int to = 0; to < dispatcherSites.size(); to++) {
                boolean selected = crossesSite(fault.site(), from, to) || matchesAny(fault.names(), from, to);
                if (from != to && selected) {
                    proxy.changeFaults(from, to, change);
                }
            }
        }
    }

    /** Returns whether exactly one of two dispatchers is in a site; false if the name is empty. */
    private boolean crossesSite(String site, int from, int to) {
        boolean fromInside = dispatcherSites.get(from).equals(site);
        boolean toInside = dispatcherSites.get(to).equals(site);
        return !site.isEmpty() && fromInside != toInside;
    }

    private static boolean matchesAny(List<String> patterns, int from, int to) {
        return patterns.stream().map(LinkPattern::parse).anyMatch(pattern -> pattern.matches(from, to));
    }
}
