package rampshift.policy;

import java.util.ArrayList;
import java.util.List;
import rampshift.time.Span;

/** What a dispatcher is told at its start. The host fills it in; the module only reads it. */
public final class Settings {
    public long seed;
    public final List<TrafficType> types = new ArrayList<>();
    /** Tasks a second within its share, over all dispatchers; a row a tenant. */
    public final List<Double> tenantQuotas = new ArrayList<>();
    public int zone;
    public Span tick = Span.ofMillis(1);
    public int mostAssignments = 1;
    public boolean mayProbe;
    public boolean mayCancel;
    public boolean secondCopies;
    public boolean comeBackAdvice;
    public Span longestComeBack = Span.ZERO;
    public boolean listOnRequest;
    /** The list's weights fall as workers hold more. */
    public boolean liveWeights;
    public boolean tellsStart;
    /** Between progress notes; zero where there are none. */
    public Span progressEvery = Span.ZERO;
    /** Workers tell their load, with answers or with probes. */
    public boolean reportsLoad = true;
    /** A heavy task earns more than a light one of its type, in proportion to its work. */
    public boolean earningsByWork;
    public double excessEarnings = 1;
    public double crossingPrice;
    public double wastePrice;
    public double handshakePrice;
    /** A connection that has been idle for longer is closed. */
    public Span connectionIdle = Span.ZERO;
    public Span askWithin = Span.ZERO;
    /** How long a worker may still be sent to after the list told that it drains or is gone. */
    public Span drainGrace = Span.ZERO;
    /**
     * So many attempts past the tasks' first in any such span, and so many more a task taken in it; the span
     * is zero where there is no such rule.
     */
    public Span budgetSpan = Span.ZERO;
    public double budgetFloor;
    public double budgetShare;
    /** A worker called gone, or left out of the list, may be sent to unless it was listed as draining. */
    public boolean onlyDrainingBinds;
    /** The weight, from 0 to 1, of the part of the goal that falls once more than this share is late. */
    public double tailWeight;
    public double tailBorne;
    public double coldFrom = 1;
    public Span coldFor = Span.ZERO;
    public double tipMultiple = 1;
}
