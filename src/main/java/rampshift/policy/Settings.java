package rampshift.policy;

import java.util.ArrayList;
import java.util.List;
import rampshift.time.Span;

/** What a dispatcher is told at its start. The host fills it in; the module only reads it. */
public final class Settings {
    /** Seed of the instance's random draws; any number. */
    public long seed;
    /** The traffic-type table, in the order in which the types are numbered. */
    public final List<TrafficType> types = new ArrayList<>();
    /** Tasks a second within the quota of a tenant, over all dispatchers, 0 or more; a row a tenant. */
    public final List<Double> tenantQuotas = new ArrayList<>();
    /** The dispatcher's own zone, by number, 0 or more. */
    public int zone;
    /** Granularity of the host's timers, above zero. */
    public Span tick = Span.ofMillis(1);
    /** Attempts that a task may have in all, hedges and retries included, 1 or more. */
    public int maxAttempts = 1;
    /** Whether a worker may be probed for its load before it is sent a task. */
    public boolean mayProbe;
    /** Whether an attempt may be cancelled once the task needs it no more. */
    public boolean mayCancel;
    /** Whether a task may have more than one attempt open at once. */
    public boolean mayHedge;
    /** Whether a rejected task's client is told when to retry. */
    public boolean retryAfterHints;
    /** The longest Retry-After hint, zero or more. */
    public Span maxRetryAfter = Span.ZERO;
    /** Whether the endpoint list comes only to those who subscribe to it. */
    public boolean endpointListOnRequest;
    /** Whether the list's weights fall as workers hold more. */
    public boolean liveWeights;
    /** Whether workers report when an attempt begins to run. */
    public boolean reportsStart;
    /** Between the progress messages of a running attempt; zero where there are none. */
    public Span progressInterval = Span.ZERO;
    /** Whether workers report their load, in responses or when probed. */
    public boolean reportsLoad = true;
    /** Whether a task's value grows in proportion to its work, among tasks of its type. */
    public boolean valueScalesWithWork;
    /** Part of its value that a task beyond its tenant's quota keeps, from 0 to 1. */
    public double overQuotaValueShare = 1;
    /** Cost of an attempt in another zone, in values of a mean task, 0 or more. */
    public double crossZoneCost;
    /** Cost of a run whose result is not used, in values of a mean task, 0 or more. */
    public double wastedWorkCost;
    /** Cost of opening a connection to a worker, in values of a mean task, 0 or more. */
    public double handshakeCost;
    /** A connection that has been idle for longer is closed; zero or more. */
    public Span connectionIdleTimeout = Span.ZERO;
    /** Within which a dispatcher without an endpoint list has to subscribe to it again; zero or more. */
    public Span maxSubscribeDelay = Span.ZERO;
    /** How long a worker may still be sent to after the list told that it drains or is removed. */
    public Span drainGrace = Span.ZERO;
    /** Any such span has a budget of attempts past the tasks' first; zero where there is no such rule. */
    public Span retryBudgetWindow = Span.ZERO;
    /** Attempts past the tasks' first that each window has room for without any task, 0 or more. */
    public double retryBudgetMinimum;
    /** Further such attempts that a window has room for, for each task taken in it, 0 or more. */
    public double retryBudgetRatio;
    /** Whether a worker that the list calls removed, or lacks, may be sent to unless it was draining. */
    public boolean removalIsAdvisory;
    /** Weight of the part of the goal that falls once too large a share of tasks is late, from 0 to 1. */
    public double lateShareWeight;
    /** Share of late tasks, from 0 to 1, up to which that part of the goal does not fall. */
    public double toleratedLateShare;
    /** Part of its full speed that a worker has when it starts, from 0 to 1; 1 where none starts slowly. */
    public double slowStartInitialShare = 1;
    /** How long after its start a worker reaches its full speed; zero where none starts slowly. */
    public Span slowStartDuration = Span.ZERO;
    /** What all dispatchers may send to a worker in slow start, in multiples of what it can run; above 0. */
    public double slowStartMaxLoadMultiple = 1;
}
