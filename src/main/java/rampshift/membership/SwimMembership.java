package rampshift.membership;

import java.util.List;
import java.util.Optional;
import rampshift.membership.MembershipMetrics.Counter;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * One dispatcher's view of the others: SWIM with suspicion, refutation by incarnation and indirect probes,
 * Lifeguard's local health, and drain notices of workers piggybacked on the messages.
 *
 * <p>Callers pass in datagrams, syncs and the time; this class decides what to send and when to be called
 * again. It has no clock, socket or thread. All methods must be called from one thread, with times that never
 * decrease. See docs/design/members.md for the reasons, and for the behavior when an assumption fails.
 */
public final class SwimMembership {
    /** A wake-up that is late by more than this fraction of a period counts as a stall of this process. */
    private static final double STALL_PERIODS = 0.5;
    /** The number of members that are notified immediately when this one leaves. */
    private static final int LEAVE_FANOUT = 8;

    private final InputTime time = new InputTime();
    private final MembershipContext context;
    private final Gossip gossip;
    private final Suspicions suspicions;
    private final LocalHealth localHealth = new LocalHealth();
    private final FailureDetector failureDetector;
    private final MemberRegistry registry;
    private final DrainNoticeGossip drainNotices;
    private final AntiEntropySync sync;
    private final HealthMonitor healthMonitor;
    private final MessageHandler messages;
    private Moment wakeAt;

    /** Creates a member that is not started yet. */
    public SwimMembership(MembershipOptions options, MembershipOutput output) {
        LocalMember self = new LocalMember(options.self());
        RandomDraws random = new RandomDraws(options.seed(), options.self().processId());
        MemberTable members = new MemberTable(options.addressOverrides(), random);
        Codec codec = new Codec(options.fleet());
        List<String> seeds = options.seeds().stream().filter(seed -> !seed.equals(options.self().address()))
                .toList();
        context =
                new MembershipContext(time, options.timings(), self, members, random, new MembershipMetrics(),
                        output);
        gossip = new Gossip(context, codec);
        suspicions = new Suspicions(context, gossip);
        ProbeOrder probeOrder = new ProbeOrder(context);
        failureDetector = new FailureDetector(context, gossip, suspicions, localHealth, probeOrder);
        NameConflictDetector nameConflicts = new NameConflictDetector(context);
        Refutation refutation = new Refutation(context, gossip, localHealth, nameConflicts);
        registry = new MemberRegistry(context, gossip, suspicions, probeOrder, refutation);
        drainNotices = new DrainNoticeGossip(context, gossip);
        sync = new AntiEntropySync(context, codec, drainNotices.notices(), seeds);
        healthMonitor = new HealthMonitor(context, sync, localHealth, nameConflicts);
        messages = new MessageHandler(context, codec, gossip, registry, drainNotices, failureDetector);
    }

    /** Starts the protocol and asks the seeds for their view. */
    public void start(Moment now) {
        time.set(now);
        failureDetector.start();
        sync.start();
        afterInput();
    }

    /** Enters another phase of the life cycle and announces it to the others. */
    public void setPhase(Moment now, MemberIdentity.Phase phase) {
        time.set(now);
        context.self().setPhase(phase);
        gossip.enqueue(context.self().aliveUpdate());
        afterInput();
    }

    /** Leaves the fleet gracefully, so that no member suspects this one. */
    public void leave(Moment now) {
        time.set(now);
        context.self().leave();
        MemberUpdate ended = context.self().currentUpdate();
        gossip.enqueue(ended);
        for (Member member : context.members().sample(LEAVE_FANOUT)) {
            gossip.send(member.name(), new MessageBody.Gossip(), List.of(ended));
        }
        afterInput();
    }

    /**
     * Handles a datagram. One that is malformed or of another fleet only increments a counter.
     *
     * @param fromAddress the address of the sender
     * @param bytes       holds the datagram at its start
     * @param count       the length of the datagram in bytes
     */
    public void onDatagram(Moment now, String fromAddress, byte[] bytes, int count) {
        time.set(now);
        Optional<Message> decoded = messages.decode(bytes, count);
        if (decoded.isEmpty() || decoded.get().body().kind().isSync()) {
            return;
        }
        Message message = decoded.get();
        messages.handle(message);
        boolean fromUnknown = !context.members().contains(message.from());
        if (message.body() instanceof MessageBody.Ping && fromUnknown && !context.self().isLeaving()) {
            messages.answerUnknownSender(message, fromAddress);
            sync.onUnknownSender(message.from(), fromAddress);
        }
        afterInput();
    }

    /** Handles a sync request of another member; returns the response, or null if there is none. */
    public byte[] onSyncRequest(Moment now, byte[] bytes, int count) {
        time.set(now);
        Optional<Message> decoded = messages.decode(bytes, count);
        if (decoded.isEmpty() || decoded.get().body().kind() != MessageKind.SYNC_REQUEST) {
            return null;
        }
        messages.handle(decoded.get());
        byte[] response = sync.createResponse(decoded.get().from());
        afterInput();
        return response;
    }

    /** Handles the response to a sync request of this member. */
    public void onSyncResponse(Moment now, byte[] bytes, int count) {
        time.set(now);
        Optional<Message> decoded = messages.decode(bytes, count);
        if (decoded.isEmpty() || decoded.get().body().kind() != MessageKind.SYNC_RESPONSE) {
            return;
        }
        sync.onResponse();
        localHealth.onSyncResponse();
        messages.handle(decoded.get());
        afterInput();
    }

    /** Spreads a notice that this member took from its own endpoint list. */
    public void announce(Moment now, DrainNotice notice) {
        time.set(now);
        if (drainNotices.add(notice)) {
            afterInput();
        }
    }

    /** Does the work that is due; must be called at the time passed to {@link MembershipOutput#wakeAt}. */
    public void onWake(Moment now) {
        time.set(now);
        if (wakeAt != null && now.since(wakeAt).longerThan(context.timings().period().times(STALL_PERIODS))) {
            onStall(now.since(wakeAt));
        }
        wakeAt = null;
        if (context.self().isLeaving()) {
            return;
        }
        drainNotices.onWake();
        failureDetector.onWake();
        suspicions.onWake();
        failureDetector.startPeriodIfDue();
        sync.syncIfDue();
        if (sync.isReconnectDue()) {
            sync.reconnect();
            registry.forgetExpired();
        }
        afterInput();
    }

    /** Handles a stall of this process: no member is suspected or declared failed because of it. */
    private void onStall(Span stall) {
        context.metrics().increment(Counter.STALLS);
        localHealth.onStall();
        failureDetector.onStall();
        suspicions.onStall(stall);
        context.emitOwn(MembershipEvent.Kind.STALLED, Math.round(stall.millis()) + " ms");
    }

    private void afterInput() {
        healthMonitor.update();
        if (context.self().isLeaving()) {
            return;
        }
        Moment next = failureDetector.nextWake().orEarlier(sync.nextWake());
        next = drainNotices.earliestWake(next);
        next = suspicions.earliestWake(next);
        if (!next.equals(wakeAt)) {
            wakeAt = next;
            context.output().wakeAt(next);
        }
    }

    /** Returns the identity that this member announces. */
    public MemberIdentity self() {
        return context.self().identity();
    }

    /** Returns the health of the membership as this member sees it. */
    public MembershipHealth health() {
        return healthMonitor.health();
    }

    /** Returns the counters of this member. */
    public MembershipMetrics metrics() {
        return context.metrics();
    }

    /** Returns the drain notices that this member knows. */
    public DrainNotices drainNotices() {
        return drainNotices.notices();
    }

    /** Returns the newest updates about the other members, ordered by name. */
    public List<MemberUpdate> others() {
        return context.members().all().stream().map(Member::update).toList();
    }

    /** Returns the number of members that are alive or suspect, including this one. */
    public int reachableCount() {
        return context.members().reachableCount();
    }

    /** Returns the address and port where this member reaches another one, or null if it is unknown. */
    public String address(String name) {
        Member member = context.members().get(name);
        return member == null ? null : context.members().addressOf(member);
    }

    /** Returns Lifeguard's local health score: 0 if this process responds in time, up to 8. */
    public int localHealthScore() {
        return localHealth.score();
    }
}
