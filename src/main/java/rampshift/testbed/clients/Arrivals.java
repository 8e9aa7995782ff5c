package rampshift.testbed.clients;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.random.RandomStreams;
import rampshift.time.Span;

/**
 * The tasks that come, one after the other, as a plan and a seed have it: the same whatever the dispatchers
 * do with
 * them. No I/O, no clock.
 */
final class Arrivals {
    /** At: since the start. Work: on a machine of speed 1. Object: -1 for none. */
    record Arrival(Span at, int site, int type, Span work, int object) {}

    private final FleetPlan plan;
    private final double most;
    private final UniformRandomProvider when;
    private final UniformRandomProvider what;
    private final ZigguratSampler.Exponential gaps;
    private final ZigguratSampler.Exponential works;
    private final double siteShares;
    private final double typeShares;
    private double micros;

    /** The part of one load process among so many. */
    Arrivals(FleetPlan plan, long seed, int process) {
        this.plan = plan;
        when = RandomStreams.of(seed, "arrivals " + process);
        what = RandomStreams.of(seed, "tasks " + process);
        gaps = ZigguratSampler.Exponential.of(when);
        works = ZigguratSampler.Exponential.of(what);
        double times = 1;
        for (FleetPlan.Burst burst : plan.arrivals().bursts()) {
            times *= Math.max(1, burst.times());
        }
        most = plan.arrivals().rate() / plan.clients().processes() * times;
        siteShares = plan.sites().stream().mapToDouble(FleetPlan.Site::share).sum();
        typeShares = plan.types().stream().mapToDouble(FleetPlan.Type::share).sum();
    }

    /** The next one, or null where none comes any more. */
    Arrival next() {
        if (most <= 0 || siteShares <= 0 || typeShares <= 0) {
            return null;
        }
        while (true) {
            micros += (plan.arrivals().even() ? 1 : gaps.sample()) * 1e6 / most;
            Span at = new Span(Math.round(micros));
            if (!plan.length().longerThan(at)) {
                return null;
            }
            // As many candidates as ever come at once; outside of bursts most of them are left out.
            int site = site();
            if (when.nextDouble() * most <= rate(at, site)) {
                return draw(at, site);
            }
        }
    }

    /** One that comes at that time, drawn like the others. */
    Arrival draw(Span at) {
        return draw(at, site());
    }

    private Arrival draw(Span at, int site) {
        int number = 0;
        for (double left = what.nextDouble() * typeShares; number < plan.types().size() - 1; number++) {
            left -= plan.types().get(number).share();
            if (left < 0) {
                break;
            }
        }
        FleetPlan.Type type = plan.types().get(number);
        double times = switch (type.spread()) {
            case FIXED -> 1;
            case EXPONENTIAL -> works.sample();
            case NARROW -> 0.5 + what.nextDouble();
        };
        int objects = plan.arrivals().objects();
        return new Arrival(at, site, number, type.work().times(times),
                objects == 0 ? -1 : what.nextInt(objects));
    }

    private int site() {
        int site = 0;
        for (double left = when.nextDouble() * siteShares; site < plan.sites().size() - 1; site++) {
            left -= plan.sites().get(site).share();
            if (left < 0) {
                break;
            }
        }
        return site;
    }

    private double rate(Span at, int site) {
        double rate = plan.arrivals().rate() / plan.clients().processes();
        for (FleetPlan.Burst b : plan.arrivals().bursts()) {
            boolean on = !b.at().longerThan(at) && b.at().plus(b.length()).longerThan(at);
            if (on && (b.site().isEmpty() || b.site().equals(plan.sites().get(site).name()))) {
                rate *= b.times();
            }
        }
        return rate;
    }
}
