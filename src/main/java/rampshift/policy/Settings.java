package rampshift.policy;

import java.util.ArrayList;
import java.util.List;
import rampshift.time.Span;

/** Settings of the policy. The host sets them before the start; the policy only reads them. */
public final class Settings {
    /** Seed of the policy's random numbers; any number. */
    public long seed;
    /** The traffic types, in the order of their indexes. */
    public final List<TrafficType> types = new ArrayList<>();
    /** The quota of each tenant in tasks a second over all dispatchers, 0 or more. */
    public final List<Double> tenantQuotas = new ArrayList<>();
    /** Index of the dispatcher's own zone, 0 or more. */
    public int zone;
    /** Granularity of the host's timers, above zero. */
    public Span tick = Span.ofMillis(1);
    /** Maximum number of attempts at a task, hedges and retries included, 1 or more. */
    public int maxAttempts = 1;
    /** Whether a worker may be probed for its health and load before it is sent a task. */
    public boolean mayProbe;
    /** Whether an attempt may be cancelled once it is not needed. */
    public boolean mayCancel;
    /** Whether a task may have more than one attempt open at once. */
    public boolean mayHedge;
    /** Whether rejections carry a Retry-After hint. */
    public boolean retryAfterHints;
    /** The longest Retry-After hint, zero or more. */
    public Span maxRetryAfter = Span.ZERO;
    /** Whether the endpoint list is sent only to subscribers. */
    public boolean endpointListOnRequest;
    /** Whether the weights in the endpoint list fall as workers are loaded. */
    public boolean liveWeights;
    /** Whether workers report the start of an attempt's run. */
    public boolean reportsStart;
    /** Time between the progress messages of a running attempt; zero where there are none. */
    public Span progressInterval = Span.ZERO;
    /** Whether workers report their load, in responses or when probed. */
    public boolean reportsLoad = true;
    /** Whether the values of tasks of one type are in proportion to their hinted running times. */
    public boolean valueScalesWithWork;
    /** Share of its value that a task beyond its tenant's quota keeps, from 0 to 1. */
    public double overQuotaValueShare = 1;
    /** Cost of an attempt in another zone, in values of a mean task, 0 or more. */
    public double crossZoneCost;
    /** Cost of a run whose result is not used, in values of a mean task, 0 or more. */
    public double wastedWorkCost;
    /** Cost of opening a connection to a worker, in values of a mean task, 0 or more. */
    public double handshakeCost;
    /** Idle time after which workers close a connection; until then it counts as usable; zero or more. */
    public Span connectionIdleTimeout = Span.ZERO;
    /** Time within which a dispatcher that lost its subscription has to subscribe again; zero or more. */
    public Span maxSubscribeDelay = Span.ZERO;
    /**
     * How long a worker may still be sent tasks after the endpoint list has listed it as draining or removed.
     * The known list stays in use for that long after its source has changed.
     */
    public Span drainGrace = Span.ZERO;
    /** Length of the sliding window of the retry budget; zero where there is no budget. */
    public Span retryBudgetWindow = Span.ZERO;
    /** Attempts past the first that the budget of each window allows in any case, 0 or more. */
    public double retryBudgetMinimum;
    /**
     * Attempts past the first that the budget allows in addition for each task that arrived in the window, 0
     * or more.
     */
    public double retryBudgetRatio;
    /**
     * Whether a worker that the endpoint list calls removed, or lacks, may be sent tasks again once it is
     * heard from, unless it was draining.
     */
    public boolean removalIsAdvisory;
    /**
     * Weight, in the goal of the policy, of the term that falls as the share of late tasks exceeds the
     * tolerated one, from 0 to 1.
     */
    public double lateShareWeight;
    /** Share of late tasks up to which that term of the goal does not fall, from 0 to 1. */
    public double toleratedLateShare;
    /**
     * Share of its full speed that a worker has when it starts, from 0 to 1; 1 where there is no slow start.
     */
    public double slowStartInitialShare = 1;
    /** How long after its start a worker reaches its full speed; zero where there is no slow start. */
    public Span slowStartDuration = Span.ZERO;
    /**
     * Load that all dispatchers together may send to a worker in slow start, in multiples of its capacity;
     * above 0.
     */
    public double slowStartMaxLoadMultiple = 1;
}
