package rampshift.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.zip.CRC32;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * One dispatcher's part in knowing the others: SWIM with suspicion, refutation by incarnation, questions by
 * way of
 * others and Lifeguard's local health, and news of workers that rides along. It takes datagrams, answers of
 * whole
 * exchanges and the time, and says what is to be sent and when it is to be woken; it has no clock, socket or
 * thread.
 * docs/design/members.md tells why it is so, and what holds when an assumption breaks.
 */
public final class SwimMembership {
    /** Carries out what is decided. */
    public interface Out {
        void send(String to, byte[] datagram);

        /** Over a stream; the answer, if one comes, goes to {@link SwimMembership#exchanged}. */
        void exchange(String to, byte[] whole);

        void wakeAt(Moment when);

        void tell(Event event);

        /** News that has not been heard here before, from another. */
        void heard(DrainNotice news);
    }

    /**
     * How it begins. Reach: addresses of single others as they are for this one, in place of what they tell.
     */
    public record Start(String fleet, MemberIdentity self, List<String> seeds, Map<String, String> reach,
            MembershipTimings rules,
            long seed) {}

    private static final Span PUSH_AFTER = Span.ofMillis(2);    // news of one list goes in one datagram
    // times that another life outdid what was said here
    private static final int TWIN_AT = 3;
    // looks for missing ones, since it was last heard of
    private static final double TWIN_FOR = 10;
    private static final double STALL = 0.5;                    // of a period that a wake may be late
    private static final int ENDING = 8;                        // members that are told of an end in order

    private final Out out;
    private final MembershipTimings rules;
    private final Codec codec;
    private final List<String> seeds;
    private final Map<String, String> reach;
    private final long seed;
    private long draws;
    private MemberIdentity self;
    private final Map<String, Member> members = new TreeMap<>();
    private final DrainNotices bulletin = new DrainNotices();
    private final GossipQueue<MemberUpdate> words = new GossipQueue<>();
    private final GossipQueue<DrainNotice> news = new GossipQueue<>();
    private final MembershipMetrics counts = new MembershipMetrics();
    private final Map<Long, Helping> helping = new LinkedHashMap<>();
    private final List<String> round = new ArrayList<>();
    private final Map<Long, Integer> outdone = new HashMap<>();
    private Probe probe;
    private long numbers;
    private int late;                   // Lifeguard's score: 0 is in time
    private boolean lateNow;            // since a stall no answer has come
    private Moment twinAt;              // when another process last outdid what was said here
    private boolean joined;
    private boolean ending;
    private Moment now;
    private Moment roundAt;
    private Moment wholeAt;
    private Moment missedAt;
    private Moment pushAt;
    private Moment strangerAt;
    private Moment armed;
    private MembershipHealth standing = MembershipHealth.JOINING;

    /** The question of this round. */
    private static final class Probe {
        final String target;
        final long number;
        final Moment askOthersAt;
        boolean othersAsked;
        int noAckDue;
        boolean answered;

        Probe(String target, long number, Moment askOthersAt) {
            this.target = target;
            this.number = number;
            this.askOthersAt = askOthersAt;
        }
    }

    /** A question put for another. */
    private record Helping(String asker, String target, long number, Moment until) {}

    public SwimMembership(Start start, Out out) {
        this.out = out;
        rules = start.rules();
        codec = new Codec(start.fleet());
        self = start.self();
        seeds = start.seeds().stream().filter(s -> !s.equals(start.self().at())).toList();
        reach = Map.copyOf(start.reach());
        seed = start.seed();
    }

    // ---------------------------------------------------------------- inputs

    /** Begins: whoever is named as a seed is asked for all that it knows. */
    public void start(Moment at) {
        now = at;
        joined = seeds.isEmpty();
        roundAt = now.plus(rules.period().times(chance()));
        wholeAt = now;
        missedAt = now.plus(rules.missedEvery());
        settle();
    }

    /** It is warmed up, or is about to end: its fellows are told. */
    public void doing(Moment at, MemberIdentity.Doing doing) {
        now = at;
        self = self.doing(doing, raised(self.incarnation()));
        sayOfSelf(MemberUpdate.Belief.ALIVE);
        settle();
    }

    /** It ends in order: nobody is to suspect it. */
    public void end(Moment at) {
        now = at;
        ending = true;
        self = self.doing(MemberIdentity.Doing.STOPPING, raised(self.incarnation()));
        MemberUpdate last = sayOfSelf(MemberUpdate.Belief.ENDED);
        for (Member m : some(ENDING, null)) {
            send(m.card().name(), Message.Kind.TELL, 0, "", List.of(last));
        }
        settle();
    }

    /** A datagram, and where it came from; what is malformed or foreign moves a counter and nothing else. */
    public void datagram(Moment at, String from, byte[] bytes, int count) {
        Message m = read(at, bytes, count);
        if (m == null || m.kind().compareTo(Message.Kind.WHOLE) >= 0 || mine(m)) {
            return;
        }
        heard(m);
        if (m.kind() == Message.Kind.PING && !members.containsKey(m.from()) && !ending) {
            stranger(m, from);
        }
        settle();
    }

    /**
     * One that knows this member, which knows nothing of it, as after a restart: it is answered, and asked
     * for all.
     */
    private void stranger(Message m, String at) {
        sent(at, codec.write(new Message(Message.Kind.ACK, m.number(), self.name(), m.from(), "",
                List.of(new MemberUpdate(self, MemberUpdate.Belief.ALIVE, self.name(), 0)), List.of())));
        if (strangerAt == null || now.since(strangerAt).longerThan(rules.answerBy())) {
            strangerAt = now;
            out.exchange(at, whole(Message.Kind.WHOLE, m.from()));
        }
    }

    /** The other side of an exchange over a stream: what it is answered, or null. */
    public byte[] asked(Moment at, byte[] bytes, int count) {
        Message m = read(at, bytes, count);
        if (m == null || m.kind() != Message.Kind.WHOLE || mine(m)) {
            return null;
        }
        heard(m);
        counts.exchanges++;
        byte[] answer = whole(Message.Kind.WHOLE_BACK, m.from());
        settle();
        return answer;
    }

    /** The answer to an exchange of ours. */
    public void exchanged(Moment at, byte[] bytes, int count) {
        Message m = read(at, bytes, count);
        if (m != null && m.kind() == Message.Kind.WHOLE_BACK && !mine(m)) {
            counts.exchanges++;
            joined = true;
            lateNow = false;
            heard(m);
            settle();
        }
    }

    /** Its own list says that a worker takes nothing new. */
    public void learnt(Moment at, DrainNotice what) {
        now = at;
        if (bulletin.put(what)) {
            pass(what);
            settle();
        }
    }

    public void woken(Moment at) {
        now = at;
        if (armed != null && now.since(armed).longerThan(rules.period().times(STALL))) {
            stalled(now.since(armed));
        }
        armed = null;
        if (ending) {
            return;
        }
        push();
        lookAtProbe();
        lookAtSuspects();
        if (!now.before(roundAt)) {
            nextRound();
        }
        if (!now.before(wholeAt)) {
            wholeExchange();
        }
        if (!now.before(missedAt)) {
            lookForMissing();
        }
        settle();
    }

    // ---------------------------------------------------------------- what is known

    public MemberIdentity self() {
        return self;
    }

    public MembershipHealth standing() {
        return standing;
    }

    public MembershipMetrics counts() {
        return counts;
    }

    public DrainNotices bulletin() {
        return bulletin;
    }

    /** Others, by name, as they are believed to be. */
    public List<MemberUpdate> others() {
        return members.values().stream().map(m -> m.claim).toList();
    }

    /** Members that answer, this one among them. */
    public int there() {
        return 1 + (int) members.values().stream().filter(Member::there).count();
    }

    /** Where that member is reached from here; null for one that is not known. */
    public String address(String name) {
        Member m = members.get(name);
        return m == null ? null : address(m.card());
    }

    /** Its own lateness, 0 to {@link MembershipTimings#MOST_LATE}. */
    public int late() {
        return late;
    }

    // ---------------------------------------------------------------- what came

    private Message read(Moment at, byte[] bytes, int count) {
        now = at;
        counts.taken++;
        try {
            Message m = codec.read(bytes, count);
            if (!m.to().isEmpty() && !m.to().equals(self.name())) {
                counts.misdirected++;
                return null;
            }
            return m;
        } catch (MalformedMessageException e) {
            if (e.foreign) {
                counts.foreign++;
            } else {
                counts.malformed++;
            }
            return null;
        }
    }

    /** Its own, by way of a seed that is itself. A twin's goes on. */
    private boolean mine(Message m) {
        return m.from().equals(self.name()) && m.claims().stream().anyMatch(c -> c.card().equals(self));
    }

    private void heard(Message m) {
        m.claims().forEach(this::merge);
        for (DrainNotice n : m.news()) {
            if (bulletin.put(n)) {
                pass(n);
                out.heard(n);
            }
        }
        if (ending) {
            return;
        }
        switch (m.kind()) {
            case PING -> {
                List<MemberUpdate> first = new ArrayList<>(about(m.from()));
                if (m.claims().stream().anyMatch(
                        c -> c.card().name().equals(self.name())
                                && c.belief() != MemberUpdate.Belief.ALIVE)) {
                    // refuted, maybe long ago
                    first.add(new MemberUpdate(self, MemberUpdate.Belief.ALIVE, self.name(), 0));
                }
                send(m.from(), Message.Kind.ACK, m.number(), "", first);
            }
            case ACK -> acked(m.number(), m.from());
            case ASK_FOR -> askFor(m);
            case NO_ACK -> {
                if (probe != null && probe.number == m.number() && probe.noAckDue > 0) {
                    probe.noAckDue--;
                }
            }
            default -> {
            }
        }
    }

    /** What its receiver should hear first of all: what is believed of it, if that is not well. */
    private List<MemberUpdate> about(String name) {
        Member m = members.get(name);
        return m == null || m.claim.belief() == MemberUpdate.Belief.ALIVE ? List.of() : List.of(aged(m));
    }

    private void acked(long number, String from) {
        Helping h = helping.remove(number);
        if (h != null) {
            send(h.asker(), Message.Kind.ACK, h.number(), h.target(), List.of());
            return;
        }
        if (probe != null && probe.number == number && !probe.answered) {
            probe.answered = true;
            lateNow = false;
            late = Math.max(0, late - 1);
        }
    }

    private void askFor(Message m) {
        if (members.get(m.about()) == null) {
            send(m.from(), Message.Kind.NO_ACK, m.number(), m.about(), List.of());
            return;
        }
        if (helping.size() >= Codec.MOST_MEMBERS) {
            counts.noRoom++;
            return;
        }
        long number = ++numbers;
        helping.put(number, new Helping(m.from(), m.about(), m.number(), now.plus(rules.answerBy())));
        send(m.about(), Message.Kind.PING, number, "", about(m.about()));
    }

    private void merge(MemberUpdate said) {
        String name = said.card().name();
        if (name.equals(self.name())) {
            ofSelf(said);
            return;
        }
        Member had = members.get(name);
        if (had == null) {
            add(said);
            return;
        }
        if (!said.over(had.claim)) {
            if (said.belief() == MemberUpdate.Belief.SUSPECT
                    && had.claim.belief() == MemberUpdate.Belief.SUSPECT
                    && said.card().incarnation() == had.card().incarnation()) {
                confirmed(had, said);
            }
            return;
        }
        boolean was = had.there();
        MemberUpdate.Belief before = had.claim.belief();
        boolean other = said.card().life() != had.card().life();
        had.claim = said;
        had.since = now.minus(Span.ofMillis(said.ageMs()));
        words.put(name, said);
        if (said.belief() == MemberUpdate.Belief.SUSPECT) {
            suspect(had, said.by());
            return;
        }
        had.failsAt = null;
        had.accusers.clear();
        switch (said.belief()) {
            case ALIVE -> tell(
                    !was || other ? Event.Kind.JOINED
                            : before == MemberUpdate.Belief.SUSPECT ? Event.Kind.CLEARED
                                    : Event.Kind.CHANGED,
                    had, other ? "another process" : said.card().doing().name());
            case FAILED -> tell(Event.Kind.FAILED, had, "by " + said.by());
            default -> tell(Event.Kind.ENDED, had, "in order");
        }
    }

    private void add(MemberUpdate said) {
        if (members.size() >= Codec.MOST_MEMBERS) {
            counts.noRoom++;
            return;
        }
        if (said.over() && said.ageMs() >= rules.forget().millis()) {
            return;     // others forget it soon, too
        }
        Member m = new Member(said, now.minus(Span.ofMillis(said.ageMs())));
        members.put(said.card().name(), m);
        words.put(said.card().name(), said);
        if (said.belief() == MemberUpdate.Belief.SUSPECT) {
            suspect(m, said.by());
        } else {
            tell(switch (said.belief()) {
                case ALIVE -> Event.Kind.JOINED;
                case FAILED -> Event.Kind.FAILED;
                default -> Event.Kind.ENDED;
            }, m, "by " + said.by());
        }
        if (m.there() && !round.isEmpty()) {
            round.add(drawn(round.size() + 1), said.card().name());
        }
    }

    /** Somebody speaks of this one: of its former life, of a twin, or wrongly. */
    private void ofSelf(MemberUpdate said) {
        MemberIdentity c = said.card();
        if (c.incarnation() < self.incarnation()
                || said.card().equals(self) && said.belief() == MemberUpdate.Belief.ALIVE) {
            return;
        }
        if (c.life() == self.life()) {
            if (said.belief() == MemberUpdate.Belief.ALIVE || ending) {
                return;
            }
            counts.refuted++;
            late = Math.min(MembershipTimings.MOST_LATE, late + 1);
            out.tell(new Event(Event.Kind.REFUTED, self.name(), c.incarnation(),
                    said.belief() + " by " + said.by()));
        } else if (said.belief() == MemberUpdate.Belief.ALIVE && c.incarnation() > self.incarnation()) {
            // A former process can't outdo what it never heard of; one that does so again and again is there.
            boolean known = twin();
            if (known && now.since(twinAt).micros() < rules.missedEvery().micros()) {
                return;     // both have been told; what they answer one another is not to fill the wire
            }
            if (outdone.merge(c.life(), 1, Integer::sum) >= TWIN_AT) {
                twinAt = now;
                if (!known) {
                    out.tell(new Event(Event.Kind.TWIN, self.name(), c.incarnation(),
                            "another process at " + c.at()));
                }
            }
            if (outdone.size() > MembershipTimings.MOST_LATE) {
                outdone.clear();
            }
        }
        if (c.incarnation() >= MemberIdentity.MOST) {
            return;     // nothing can be said over it: the operator is told by the standing of others
        }
        self = self.again(c.incarnation() + 1);
        if (!ending) {
            sayOfSelf(MemberUpdate.Belief.ALIVE);
        }
    }

    private boolean twin() {
        return twinAt != null && !now.since(twinAt).longerThan(rules.missedEvery().times(TWIN_FOR));
    }

    private MemberUpdate sayOfSelf(MemberUpdate.Belief belief) {
        MemberUpdate claim = new MemberUpdate(self, belief, self.name(), 0);
        words.put(self.name(), claim);
        return claim;
    }

    private static long raised(long incarnation) {
        return Math.min(MemberIdentity.MOST, incarnation + 1);
    }

    private void pass(DrainNotice what) {
        news.put(what.worker(), what);
        if (pushAt == null) {
            pushAt = now.plus(PUSH_AFTER);
        }
    }

    /** Fresh news goes to a few at once, who do the same: the grace on drains is short. */
    private void push() {
        if (pushAt == null || now.before(pushAt)) {
            return;
        }
        pushAt = null;
        for (Member m : some(MembershipTimings.FAN, null)) {
            send(m.card().name(), Message.Kind.TELL, 0, "", List.of());
        }
    }

    // ---------------------------------------------------------------- rounds

    private void lookAtProbe() {
        for (Helping h : List.copyOf(helping.values())) {
            if (!now.before(h.until())) {
                helping.values().remove(h);
                send(h.asker(), Message.Kind.NO_ACK, h.number(), h.target(), List.of());
            }
        }
        if (probe == null || probe.answered || probe.othersAsked || now.before(probe.askOthersAt)) {
            return;
        }
        probe.othersAsked = true;
        for (Member helper : some(MembershipTimings.HELPERS, probe.target)) {
            probe.noAckDue++;
            send(helper.card().name(), Message.Kind.ASK_FOR, probe.number, probe.target, about(probe.target));
        }
    }

    private void nextRound() {
        if (probe != null && !probe.answered) {
            // Helpers that say that they got no answer either show that our own way is sound.
            late = Math.min(MembershipTimings.MOST_LATE, late + (probe.noAckDue > 0 ? 1 : 0));
            accuse(probe.target);
        }
        probe = null;
        roundAt = now.plus(rules.period().times(late + 1));
        String target = nextTarget();
        if (target != null) {
            probe = new Probe(target, ++numbers, now.plus(rules.answerBy().times(late + 1)));
            send(target, Message.Kind.PING, probe.number, "", about(target));
        }
        // Nobody is condemned on hearsay: a refutation that went by lossy ways did not reach all, and one of
        // eight
        // failed a member 10 s after the other seven had cleared it.
        members.values().stream().filter(m -> m.failsAt != null && !m.card().name().equals(target))
                .limit(MembershipTimings.HELPERS)
                .toList().forEach(
                        m -> send(m.card().name(), Message.Kind.PING, ++numbers, "", about(m.card().name())));
    }

    /** Each in turn, in an order drawn anew for every round of all. */
    private String nextTarget() {
        while (true) {
            if (round.isEmpty()) {
                for (Member m : members.values()) {
                    if (m.there()) {
                        round.add(drawn(round.size() + 1), m.card().name());
                    }
                }
                if (round.isEmpty()) {
                    return null;
                }
            }
            String name = round.remove(round.size() - 1);
            Member m = members.get(name);
            if (m != null && m.there()) {
                return name;
            }
        }
    }

    private void accuse(String name) {
        Member m = members.get(name);
        if (m == null || m.claim.belief() != MemberUpdate.Belief.ALIVE) {
            if (m != null && m.claim.belief() == MemberUpdate.Belief.SUSPECT) {
                MemberUpdate mine = new MemberUpdate(m.card(), MemberUpdate.Belief.SUSPECT, self.name(), 0);
                confirmed(m, mine);
            }
            return;
        }
        counts.accused++;
        m.claim = new MemberUpdate(m.card(), MemberUpdate.Belief.SUSPECT, self.name(), 0);
        words.put(name, m.claim);
        suspect(m, self.name());
    }

    private void suspect(Member m, String by) {
        m.accusers.clear();
        m.accusers.add(by);
        m.suspectedAt = now;
        m.since = now;
        setEnd(m);
        tell(Event.Kind.SUSPECTED, m, "by " + by);
    }

    private void confirmed(Member m, MemberUpdate said) {
        if (m.accusers.size() <= MembershipTimings.CONFIRMED_BY && m.accusers.add(said.by())) {
            words.put(said.card().name(), said);
            setEnd(m);
        }
    }

    private void setEnd(Member m) {
        Span most = rules.suspicion(there(), m.accusers.size() - 1, there() - 2);
        m.failsAt = m.suspectedAt.plus(most);
    }

    private void lookAtSuspects() {
        for (Member m : List.copyOf(members.values())) {
            if (m.failsAt != null && !now.before(m.failsAt)) {
                m.failsAt = null;
                m.accusers.clear();
                m.claim = new MemberUpdate(m.card(), MemberUpdate.Belief.FAILED, self.name(), 0);
                m.since = now;
                words.put(m.card().name(), m.claim);
                tell(Event.Kind.FAILED, m, "by " + self.name());
            }
        }
    }

    /**
     * It stood still: answers and refutations may lie unread, so nobody is accused or condemned for that
     * time.
     */
    private void stalled(Span by) {
        counts.stalls++;
        lateNow = true;
        late = Math.min(MembershipTimings.MOST_LATE, late + 1);
        probe = null;
        helping.clear();
        roundAt = now;
        for (Member m : members.values()) {
            if (m.failsAt != null) {
                m.suspectedAt = m.suspectedAt.plus(by);
                m.failsAt = m.failsAt.plus(by);
            }
        }
        out.tell(new Event(Event.Kind.STALLED, self.name(), self.incarnation(),
                Math.round(by.millis()) + " ms"));
    }

    // ---------------------------------------------------------------- whole views

    private void wholeExchange() {
        if (!joined) {
            // Whichever answers first will do; a fleet started in any order finds itself.
            seeds.forEach(s -> out.exchange(s, whole(Message.Kind.WHOLE, "")));
            wholeAt = now.plus(rules.period());
            return;
        }
        List<Member> one = some(1, null);
        if (!one.isEmpty()) {
            exchange(one.get(0));
        }
        wholeAt = now.plus(rules.wholeEvery(there()).times(0.75 + chance() / 2));
    }

    /**
     * One that is missing, or a seed that nobody here answers for: a cut may have healed, two fleets may be
     * one.
     */
    private void lookForMissing() {
        missedAt = now.plus(rules.missedEvery().times(0.75 + chance() / 2));
        List<Member> missing =
                members.values().stream().filter(m -> m.claim.belief() == MemberUpdate.Belief.FAILED)
                        .toList();
        Set<String> known = new HashSet<>(Set.of(self.at()));
        members.values().stream().filter(Member::there).forEach(m -> known.add(address(m.card())));
        List<String> strangers = seeds.stream().filter(s -> !known.contains(s)).toList();
        int draw = missing.size() + strangers.size() == 0 ? -1 : drawn(missing.size() + strangers.size());
        if (draw >= missing.size()) {
            out.exchange(strangers.get(draw - missing.size()), whole(Message.Kind.WHOLE, ""));
        } else if (draw >= 0) {
            exchange(missing.get(draw));
        }
        forget();
    }

    private void exchange(Member with) {
        out.exchange(address(with.card()), whole(Message.Kind.WHOLE, with.card().name()));
    }

    private byte[] whole(Message.Kind kind, String to) {
        List<MemberUpdate> all = new ArrayList<>();
        all.add(new MemberUpdate(self, ending ? MemberUpdate.Belief.ENDED : MemberUpdate.Belief.ALIVE,
                self.name(), 0));
        members.values().forEach(m -> all.add(aged(m)));
        return codec.write(new Message(kind, 0, self.name(), to, "", all.subList(0, Math.min(all.size(),
                Codec.MOST_MEMBERS)), bulletin.all()));
    }

    private MemberUpdate aged(Member m) {
        MemberUpdate c = m.claim;
        return !c.over() ? c
                : new MemberUpdate(c.card(), c.belief(), c.by(),
                        Math.max(0, Math.round(now.since(m.since).millis())));
    }

    private void forget() {
        for (Member m : List.copyOf(members.values())) {
            if (!m.there() && now.since(m.since).longerThan(rules.forget())) {
                members.remove(m.card().name());
                tell(Event.Kind.FORGOTTEN, m, "after " + rules.forget().seconds() + " s");
            }
        }
    }

    // ---------------------------------------------------------------- sending, chance, standing

    private String address(MemberIdentity card) {
        return reach.getOrDefault(card.name(), card.at());
    }

    private void send(String to, Message.Kind kind, long number, String about,
            Collection<MemberUpdate> first) {
        Member m = members.get(to);
        if (m == null) {
            return;
        }
        Message bare = new Message(kind, number, self.name(), to, about, List.of(), List.of());
        int room = Codec.room(bare);
        List<MemberUpdate> claims = new ArrayList<>(first);
        for (MemberUpdate c : claims) {
            room -= Codec.size(c);
        }
        int tellings = rules.tellings(there());
        List<DrainNotice> told = news.take(room, tellings, Codec::size);
        for (DrainNotice n : told) {
            room -= Codec.size(n);
        }
        claims.addAll(words.take(room, tellings, Codec::size));
        sent(address(m.card()), codec.write(new Message(kind, number, self.name(), to, about, claims, told)));
    }

    private void sent(String to, byte[] bytes) {
        counts.sent++;
        counts.sentBytes += bytes.length;
        out.send(to, bytes);
    }

    /** So many that are there, by chance, but not that one. */
    private List<Member> some(int count, String not) {
        List<Member> all = new ArrayList<>();
        for (Member m : members.values()) {
            if (m.there() && !m.card().name().equals(not)) {
                all.add(m);
            }
        }
        while (all.size() > count) {
            all.remove(drawn(all.size()));
        }
        return all;
    }

    /** Evenly from 0 to 1, by seed and counter. */
    private double chance() {
        CRC32 crc = new CRC32();
        for (long part : new long[]{seed, self.life(), ++draws}) {
            for (int i = 0; i < 8; i++) {
                crc.update((int) (part >>> 8 * i));
            }
        }
        return crc.getValue() / (double) (1L << 32);
    }

    private int drawn(int of) {
        return Math.min(of - 1, (int) (chance() * of));
    }

    private void tell(Event.Kind kind, Member m, String detail) {
        out.tell(new Event(kind, m.card().name(), m.card().incarnation(), detail));
    }

    /** After each input: what it knows of its own standing, and when it is to be woken. */
    private void settle() {
        int known = 1;
        int there = 1;
        for (Member m : members.values()) {
            known += m.claim.belief() == MemberUpdate.Belief.ENDED ? 0 : 1;
            there += m.there() ? 1 : 0;
        }
        MembershipHealth is = !joined && there == 1 ? MembershipHealth.JOINING
                : lateNow ? MembershipHealth.LATE
                        : twin() ? MembershipHealth.TWIN
                                : there == known ? MembershipHealth.WHOLE
                                        : there == 1 ? MembershipHealth.ALONE
                                                : 2 * there <= known ? MembershipHealth.MINOR
                                                        : MembershipHealth.MISSING;
        if (is != standing) {
            standing = is;
            out.tell(new Event(Event.Kind.STANDING, self.name(), self.incarnation(),
                    is + " " + there + "/" + known));
        }
        if (ending) {
            return;
        }
        Moment next = roundAt.orEarlier(wholeAt).orEarlier(missedAt);
        if (probe != null && !probe.answered && !probe.othersAsked) {
            next = next.orEarlier(probe.askOthersAt);
        }
        if (pushAt != null) {
            next = next.orEarlier(pushAt);
        }
        for (Helping h : helping.values()) {
            next = next.orEarlier(h.until());
        }
        for (Member m : members.values()) {
            if (m.failsAt != null) {
                next = next.orEarlier(m.failsAt);
            }
        }
        if (armed == null || !armed.equals(next)) {
            armed = next;
            out.wakeAt(next);
        }
    }
}
