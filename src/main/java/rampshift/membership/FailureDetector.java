package rampshift.membership;

import java.util.List;
import rampshift.time.Moment;

/**
 * Probes one member in each protocol period. If it does not answer in time, other members are asked to probe
 * it; if no answer arrives by the end of the period, the member is suspected.
 */
final class FailureDetector {
    /** The probe of the current period. */
    private static final class Probe {
        final String target;
        final long sequence;
        final Moment indirectAt;
        boolean indirect;
        int outstandingNacks;
        boolean acknowledged;

        Probe(String target, long sequence, Moment indirectAt) {
            this.target = target;
            this.sequence = sequence;
            this.indirectAt = indirectAt;
        }

        boolean awaitsDirectAck() {
            return !acknowledged && !indirect;
        }
    }

    private final MembershipContext context;
    private final Gossip gossip;
    private final Suspicions suspicions;
    private final LocalHealth localHealth;
    private final ProbeOrder probeOrder;
    private final SequenceNumbers sequenceNumbers = new SequenceNumbers();
    private final RelayedProbes relayedProbes;
    private Probe probe;
    private Moment periodEnd;

    FailureDetector(MembershipContext context, Gossip gossip, Suspicions suspicions, LocalHealth localHealth,
            ProbeOrder probeOrder) {
        this.context = context;
        this.gossip = gossip;
        this.suspicions = suspicions;
        this.localHealth = localHealth;
        this.probeOrder = probeOrder;
        relayedProbes = new RelayedProbes(context, gossip, sequenceNumbers);
    }

    /** Starts the first period at a random time within one period. */
    void start() {
        periodEnd = context.now().plus(context.timings().period().times(context.random().nextDouble()));
    }

    void onPingRequest(String requester, MessageBody.PingRequest request) {
        relayedProbes.onPingRequest(requester, request);
    }

    void onAck(long sequence) {
        if (relayedProbes.onAck(sequence)) {
            return;
        }
        if (isCurrent(sequence) && !probe.acknowledged) {
            probe.acknowledged = true;
            localHealth.onAck();
        }
    }

    void onNack(long sequence) {
        if (isCurrent(sequence) && probe.outstandingNacks > 0) {
            probe.outstandingNacks--;
        }
    }

    private boolean isCurrent(long sequence) {
        return probe != null && probe.sequence == sequence;
    }

    /** Ends unanswered relayed probes and starts indirect probes if the direct probe timed out. */
    void onWake() {
        relayedProbes.onWake();
        if (probe == null || !probe.awaitsDirectAck() || context.now().before(probe.indirectAt)) {
            return;
        }
        probe.indirect = true;
        for (Member helper : context.members().sampleExcept(MembershipTimings.INDIRECT_PROBES,
                probe.target)) {
            probe.outstandingNacks++;
            gossip.send(helper.name(), new MessageBody.PingRequest(probe.sequence, probe.target),
                    gossip.updatesToRefute(probe.target));
        }
    }

    /** Ends the current period and starts the next one if the current one has elapsed. */
    void startPeriodIfDue() {
        if (context.now().before(periodEnd)) {
            return;
        }
        endProbe();
        periodEnd = context.now().plus(context.timings().period().times(localHealth.multiplier()));
        String target = probeOrder.next();
        if (target != null) {
            Moment indirectAt = context.now()
                    .plus(context.timings().ackTimeout().times(localHealth.multiplier()));
            probe = new Probe(target, sequenceNumbers.next(), indirectAt);
            ping(target, probe.sequence);
        }
        pingSuspects(target);
    }

    private void endProbe() {
        if (probe != null && !probe.acknowledged) {
            // A nack shows that the links of this process work; a missing nack suggests that they don't.
            if (probe.outstandingNacks > 0) {
                localHealth.onMissingNacks();
            }
            suspicions.onProbeFailed(probe.target);
        }
        probe = null;
    }

    /**
     * Probes some suspected members again, so that they can refute the suspicion. A refutation may not reach
     * all members over lossy links: without these probes, one of eight members can declare another one failed
     * 10 s after the other seven have cleared the suspicion.
     */
    private void pingSuspects(String alreadyProbed) {
        List<String> suspects = context.members().all().stream()
                .filter(member -> member.suspicion() != null && !member.name().equals(alreadyProbed))
                .map(Member::name).limit(MembershipTimings.INDIRECT_PROBES).toList();
        suspects.forEach(name -> ping(name, sequenceNumbers.next()));
    }

    private void ping(String target, long sequence) {
        gossip.send(target, new MessageBody.Ping(sequence), gossip.updatesToRefute(target));
    }

    /** Drops all probes after a stall, since their answers may not have been read, and ends the period. */
    void onStall() {
        probe = null;
        relayedProbes.onStall();
        periodEnd = context.now();
    }

    /** Returns the time of the next wake-up that this part needs. */
    Moment nextWake() {
        Moment earliest = relayedProbes.earliestWake(periodEnd);
        return probe != null && probe.awaitsDirectAck() ? earliest.orEarlier(probe.indirectAt) : earliest;
    }
}
