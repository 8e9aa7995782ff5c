package rampshift.testbed.clients;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.random.RandomStreams;
import rampshift.time.Span;

/**
 * The arrivals at the clients of one load process. They depend on the plan and the seed alone, not on what
 * the dispatchers do with earlier tasks. Bursts are made by thinning: candidates are drawn at the highest
 * rate that any burst can reach, and are dropped in proportion where the rate is lower. No I/O, no clock.
 */
final class Arrivals {
    private static final double MICROS_PER_SECOND = 1e6;
    /** The work of a type with a narrow spread lies between this share of the mean and that share plus 1. */
    private static final double MIN_NARROW_WORK = 0.5;

    private final FleetPlan plan;
    private final double maxRatePerSecond;
    private final UniformRandomProvider timeRandom;
    private final UniformRandomProvider taskRandom;
    private final ZigguratSampler.Exponential gapSampler;
    private final ZigguratSampler.Exponential workSampler;
    private final WeightedChoice siteChoice;
    private final WeightedChoice typeChoice;
    private double candidateMicros;

    /**
     * Creates the arrivals of one load process.
     *
     * @param plan what arrives at all processes together
     * @param seed the seed of the run
     * @param process the number of the process, from 0
     */
    Arrivals(FleetPlan plan, long seed, int process) {
        this.plan = plan;
        timeRandom = RandomStreams.of(seed, "arrivals " + process);
        taskRandom = RandomStreams.of(seed, "tasks " + process);
        gapSampler = ZigguratSampler.Exponential.of(timeRandom);
        workSampler = ZigguratSampler.Exponential.of(taskRandom);
        maxRatePerSecond = baseRatePerSecond() * maxBurstFactor();
        siteChoice = new WeightedChoice(plan.sites().stream().mapToDouble(FleetPlan.Site::share));
        typeChoice = new WeightedChoice(plan.types().stream().mapToDouble(FleetPlan.TrafficType::share));
    }

    private double baseRatePerSecond() {
        return plan.arrivals().rate() / plan.clients().processes();
    }

    /** The factor if all bursts that raise the rate come at once. */
    private double maxBurstFactor() {
        double factor = 1;
        for (FleetPlan.Burst burst : plan.arrivals().bursts()) {
            factor *= Math.max(1, burst.times());
        }
        return factor;
    }

    /** The next arrival; null once the length of the plan is over, or if nothing ever arrives. */
    Arrival next() {
        if (maxRatePerSecond <= 0 || siteChoice.isEmpty() || typeChoice.isEmpty()) {
            return null;
        }
        while (true) {
            Span at = nextCandidate();
            if (!plan.length().longerThan(at)) {
                return null;
            }
            int site = siteChoice.draw(timeRandom);
            boolean accepted = timeRandom.nextDouble() * maxRatePerSecond <= ratePerSecond(at, site);
            if (accepted) {
                return drawTask(at, site);
            }
        }
    }

    private Span nextCandidate() {
        double gap = plan.arrivals().even() ? 1 : gapSampler.sample();
        candidateMicros += gap * MICROS_PER_SECOND / maxRatePerSecond;
        return new Span(Math.round(candidateMicros));
    }

    private double ratePerSecond(Span at, int site) {
        double rate = baseRatePerSecond();
        for (FleetPlan.Burst burst : plan.arrivals().bursts()) {
            if (isActive(burst, at) && appliesTo(burst, site)) {
                rate *= burst.times();
            }
        }
        return rate;
    }

    private static boolean isActive(FleetPlan.Burst burst, Span at) {
        boolean started = !burst.at().longerThan(at);
        boolean ended = !burst.at().plus(burst.length()).longerThan(at);
        return started && !ended;
    }

    private boolean appliesTo(FleetPlan.Burst burst, int site) {
        return burst.site().isEmpty() || burst.site().equals(plan.sites().get(site).name());
    }

    /**
     * Draws an arrival at a given time, with a site and a task like those of the others.
     *
     * @param at the time since the start of the run
     */
    Arrival draw(Span at) {
        int site = siteChoice.draw(timeRandom);
        return drawTask(at, site);
    }

    private Arrival drawTask(Span at, int site) {
        int typeIndex = typeChoice.draw(taskRandom);
        FleetPlan.TrafficType type = plan.types().get(typeIndex);
        Span work = type.work().times(drawWorkFactor(type.spread()));
        return new Arrival(at, site, typeIndex, work, drawObject());
    }

    private double drawWorkFactor(FleetPlan.TrafficType.Spread spread) {
        return switch (spread) {
            case FIXED -> 1;
            case EXPONENTIAL -> workSampler.sample();
            case NARROW -> MIN_NARROW_WORK + taskRandom.nextDouble();
        };
    }

    private int drawObject() {
        int objects = plan.arrivals().objects();
        return objects == 0 ? Arrival.NO_OBJECT : taskRandom.nextInt(objects);
    }
}
