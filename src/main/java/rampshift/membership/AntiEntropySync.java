package rampshift.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import rampshift.membership.MemberUpdate.Status;
import rampshift.membership.MembershipMetrics.Counter;
import rampshift.time.Moment;

/**
 * Exchanges full views over streams: with the seeds until one answers, then periodically with a random
 * member, and with failed members and unknown seeds, so that the parts of a partitioned fleet merge again.
 */
final class AntiEntropySync {
    private final MembershipContext context;
    private final Codec codec;
    private final DrainNotices drainNotices;
    private final List<String> seeds;
    private boolean joined;
    private Moment syncAt;
    private Moment reconnectAt;
    private Moment lastUnknownSenderSyncAt;

    AntiEntropySync(MembershipContext context, Codec codec, DrainNotices drainNotices, List<String> seeds) {
        this.context = context;
        this.codec = codec;
        this.drainNotices = drainNotices;
        this.seeds = seeds;
    }

    /** Schedules sync requests to the seeds for the next wake-up. A member without seeds has joined. */
    void start() {
        joined = seeds.isEmpty();
        syncAt = context.now();
        reconnectAt = context.now().plus(context.timings().reconnectInterval());
    }

    /** Returns whether a sync request of this process was answered, or there are no seeds. */
    boolean hasJoined() {
        return joined;
    }

    /** Records that a sync request of this process was answered. */
    void onResponse() {
        context.metrics().increment(Counter.SYNCS);
        joined = true;
    }

    /** Returns the response to a sync request: the view of this member. */
    byte[] createResponse(String to) {
        context.metrics().increment(Counter.SYNCS);
        return encodeView(to, new MessageBody.SyncResponse());
    }

    /**
     * Sends a sync request to a member that is unknown here and sent a probe, as happens after a restart of
     * this process. Such requests are at least an ack timeout apart.
     */
    void onUnknownSender(String name, String address) {
        Moment now = context.now();
        if (lastUnknownSenderSyncAt == null
                || now.since(lastUnknownSenderSyncAt).longerThan(context.timings().ackTimeout())) {
            lastUnknownSenderSyncAt = now;
            request(address, name);
        }
    }

    /** Syncs with the seeds or with a random member if a sync is due. */
    void syncIfDue() {
        Moment now = context.now();
        if (now.before(syncAt)) {
            return;
        }
        if (!joined) {
            // One answer suffices, so the members of a fleet may start in any order.
            seeds.forEach(seed -> request(seed, ""));
            syncAt = now.plus(context.timings().period());
            return;
        }
        context.members().sample(1).forEach(this::request);
        int reachable = context.members().reachableCount();
        syncAt = now.plus(context.timings().syncInterval(reachable).times(context.random().jitterFactor()));
    }

    boolean isReconnectDue() {
        return !context.now().before(reconnectAt);
    }

    /**
     * Syncs with a random one of the failed members and of the seeds whose address no reachable member has: a
     * partition may have healed, or two parts of a fleet that started separately may have to merge.
     */
    void reconnect() {
        double jitter = context.random().jitterFactor();
        reconnectAt = context.now().plus(context.timings().reconnectInterval().times(jitter));
        List<Member> failed = context.members().all().stream()
                .filter(member -> member.status() == Status.FAILED).toList();
        List<String> unknownSeeds = unknownSeeds();
        int candidates = failed.size() + unknownSeeds.size();
        if (candidates == 0) {
            return;
        }
        int draw = context.random().nextInt(candidates);
        if (draw < failed.size()) {
            request(failed.get(draw));
        } else {
            request(unknownSeeds.get(draw - failed.size()), "");
        }
    }

    private List<String> unknownSeeds() {
        Set<String> known = new HashSet<>();
        known.add(context.self().identity().address());
        for (Member member : context.members().all()) {
            if (member.isReachable()) {
                known.add(context.members().addressOf(member));
            }
        }
        return seeds.stream().filter(seed -> !known.contains(seed)).toList();
    }

    private void request(Member member) {
        request(context.members().addressOf(member), member.name());
    }

    private void request(String address, String name) {
        context.output().requestSync(address, encodeView(name, new MessageBody.SyncRequest()));
    }

    private byte[] encodeView(String to, MessageBody body) {
        List<MemberUpdate> view = new ArrayList<>();
        view.add(context.self().currentUpdate());
        context.members().all().forEach(member -> view.add(member.updateAt(context.now())));
        List<MemberUpdate> bounded = view.subList(0, Math.min(view.size(), Codec.MAX_MEMBERS));
        return codec.encode(new Message(context.self().name(), to, body, bounded, drainNotices.all()));
    }

    /** Returns the time of the next wake-up that this part needs. */
    Moment nextWake() {
        return syncAt.orEarlier(reconnectAt);
    }
}
