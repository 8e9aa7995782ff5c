package rampshift.leases;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.zip.CRC32;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * All leases as one dispatcher sees them, and its keeper if it is one. It takes messages and the time, and
 * says what is
 * to be sent and written down; it has no clock, disk, socket or thread.
 */
public final class LeaseManager implements Reconfiguration.Around, Acceptor.Out {
    /** Carries out what is decided. */
    public interface Out {
        void send(String to, byte[] message);

        /** A record for this keeper's directory; a later one of the same key takes its place. */
        void put(String key, byte[] record);

        /** Once all records so far are on disk. */
        void sendOnceSynced(String to, byte[] message);

        void wakeAt(Moment when);

        void tell(Event event);

        /** A change of a register by this process, which a majority has by now: for a history of them. */
        void done(String register, long version, long token, String holder, Span took);
    }

    /**
     * How it begins.
     *
     * @param name this dispatcher's
     * @param life this process's: never another's
     * @param keepers the first keepers, by name; those that are in force may be others by now
     * @param leases names of what is fought for
     * @param seed of all that is drawn
     */
    public record Start(String name, long life, List<String> keepers, List<String> leases, LeaseTimings rules,
            long seed) {}

    private static final int LOOKS = 8;             // leases asked for in one message
    private static final double SOON = 0.01;        // of a term: wakes that are as near as this are one

    /** A time at which a lease wants to be woken. Later ones of the same lease make it void. */
    private record Due(Moment at, String lease) {}

    private final Start start;
    private final LeaseTimings rules;
    private final Out out;
    private final Map<String, LeaseClient> leases = new TreeMap<>();
    private final Map<String, Moment> dueOf = new TreeMap<>();
    private final PriorityQueue<Due> dues =
            new PriorityQueue<>((a, b) -> a.at.equals(b.at) ? a.lease.compareTo(b.lease)
                    : a.at.compareTo(b.at));
    private final Map<Long, LeaseClient> attempts = new java.util.HashMap<>();
    private final Map<LeaseClient, Long> attemptOf = new java.util.IdentityHashMap<>();
    private final Map<String, Integer> held = new TreeMap<>();      // leases by holder, as seen
    private final Map<String, LeaseRecord> counted = new TreeMap<>();
    private Set<String> there = new TreeSet<>();
    private AcceptorSet keepers = AcceptorSet.UNKNOWN;
    private Acceptor keeper;
    private Reconfiguration reform;
    private Moment now;
    private Moment askAt;
    private Moment balancedAt;
    private Moment armed;
    private long numbers;
    private long draws;
    private LeaseClient asking;           // whose attempt is being sent

    public LeaseManager(Start start, Out out) {
        this.start = start;
        this.out = out;
        rules = start.rules();
        start.leases()
                .forEach(l -> leases.put(l, new LeaseClient(l, start.name(), start.life(), rules, this)));
        there.add(start.name());
    }

    // ---------------------------------------------------------------- inputs

    /**
     * Begins. Disk: what the directory of a keeper holds; null for a dispatcher that keeps nothing. Position:
     * how many
     * records it has held. NewId: a number for a directory that has none yet.
     */
    public void start(Moment at, Map<String, byte[]> disk, long position, long newId) {
        now = at;
        askAt = at;
        balancedAt = at;
        if (disk != null) {
            keeper = new Acceptor(start.name(), start.keepers(), rules.lookEvery(), this);
            keeper.start(at, disk, position, newId);
            learn(keeper.keepers());
        }
        leases.values().forEach(this::settle);
        arm();
    }

    public void message(Moment at, String from, byte[] bytes) {
        Message m = Codec.message(bytes);
        if (m == null) {
            return;
        }
        now = at;
        switch (m.kind()) {
            case PREPARE, ACCEPT, LOOK, LIST, ADOPT, HELLO -> {
                if (keeper != null) {
                    keeper.message(at, from, m);
                    learn(keeper.keepers());
                } else if (m.kind() == Message.Kind.HELLO) {
                    send(from, Message.hello(Message.Kind.HELLO_BACK, m.boot(), keepers, 0, 0, 0));
                }
            }
            case HELLO_BACK -> {
                told(m);
                if (keeper != null) {
                    keeper.message(at, from, m);
                    learn(keeper.keepers());
                }
                if (reform != null) {
                    reform.helloBack(from, m);
                }
            }
            case SEEN -> {
                for (int i = 0; i < Math.min(m.names().size(), m.values().size()); i++) {
                    LeaseClient lease = leases.get(m.names().get(i));
                    if (lease != null) {
                        lease.heard(at, m.values().get(i));
                        settle(lease);
                    }
                }
            }
            case PROMISED, ACCEPTED, REFUSED -> {
                LeaseClient lease = attempts.get(m.number());
                if (lease != null) {
                    asking = lease;
                    lease.answer(at, from, m);
                    settle(lease);
                } else if (reform != null) {
                    reform.answer(at, from, m);
                }
            }
            case STALE, ADOPTED -> {
                told(m);
                if (reform != null) {
                    reform.answer(at, from, m);
                }
            }
            case BEHIND -> {
                if (keepers.epoch() > m.epoch()) {
                    send(from, Message.keepers(Message.Kind.ADOPT, 0, keepers));
                }
            }
            case LISTED -> {
                if (reform != null) {
                    reform.answer(at, from, m);
                }
            }
            default -> {
            }
        }
        arm();
    }

    /** How many records are on disk by now. */
    public void synced(long position) {
        if (keeper != null) {
            keeper.synced(position);
        }
    }

    /**
     * Its directory takes no more records: it answers for nothing from now on, and is a client of the other
     * keepers.
     */
    public void keepsNoMore(Moment at) {
        now = at;
        keeper = null;
        out.tell(new Event("", "keeper", 0, "STOPPED"));
    }

    public void woken(Moment at) {
        now = at;
        armed = null;
        List<String> looked = new ArrayList<>();
        while (!dues.isEmpty() && !now.before(dues.peek().at)) {
            Due due = dues.poll();
            if (due.at.equals(dueOf.get(due.lease))) {
                LeaseClient lease = leases.get(due.lease);
                if (lease.looks(now)) {
                    looked.add(due.lease);
                }
                asking = lease;
                lease.woken(now);
                dueOf.remove(due.lease);
                settle(lease);
            }
        }
        look(looked);
        if (keeper != null) {
            keeper.woken(now);
            learn(keeper.keepers());
        }
        if (!now.before(askAt)) {
            askAt = now.plus(rules.lookEvery());
            if (!keepers.known()) {
                Set<String> all = new TreeSet<>(there);
                all.addAll(start.keepers());
                all.forEach(k -> send(k, Message.hello(Message.Kind.HELLO, 0, keepers, 0, 0, 0)));
            }
            balance();
        }
        if (reform != null) {
            reform.woken(now);
            if (reform.over()) {
                reform = null;
            }
        }
        arm();
    }

    /** Who is there, by the members: a hint. It decides who tries first, never who may. */
    public void there(Collection<String> names) {
        there = new TreeSet<>(names);
        there.add(start.name());
    }

    /** It ends in order: all is given back. */
    public void end(Moment at) {
        now = at;
        leases.values().forEach(l -> {
            asking = l;
            l.giveBack(at, true);
            settle(l);
        });
        arm();
    }

    // ---------------------------------------------------------------- what is known, and asked for

    /**
     * How long it may act under that lease from this instant on; not positive: it may not. Asked at the last
     * moment.
     */
    public Span mayAct(String lease, Moment at) {
        LeaseClient l = leases.get(lease);
        return l == null ? Span.ZERO : l.mayAct(at);
    }

    /** The token that goes with each act, while it may act. */
    public long token(String lease) {
        return leases.get(lease).token();
    }

    /** How far the work under it has come, by the last that was written down. */
    public String note(String lease) {
        LeaseClient l = leases.get(lease);
        return l == null || l.seen() == null ? "" : l.seen().note();
    }

    /** Writes down how far the work has come: {@link #note} tells it once a majority has it. */
    public void note(Moment at, String lease, String text) {
        now = at;
        LeaseClient l = leases.get(lease);
        asking = l;
        l.note(at, text.length() > LeaseRecord.NOTE ? text.substring(0, LeaseRecord.NOTE) : text);
        settle(l);
        arm();
    }

    /**
     * Its holder is to give it back; to that one, or for * to whoever comes. False: there is none of that
     * name.
     */
    public boolean give(Moment at, String lease, String to) {
        return wish(at, lease,
                new RegisterUpdate(RegisterUpdate.Kind.WANT, LeaseRecord.FREE, start.name(), start.life(), 0,
                        number(),
                        rules.term().micros(), to));
    }

    /** Nobody is to hold it for so long, counted from when its holder has given it back. */
    public boolean rest(Moment at, String lease, Span length) {
        return wish(at, lease,
                new RegisterUpdate(RegisterUpdate.Kind.REST, LeaseRecord.FREE, start.name(), start.life(), 0,
                        number(),
                        length.micros(), null));
    }

    private boolean wish(Moment at, String lease, RegisterUpdate what) {
        LeaseClient l = leases.get(lease);
        if (l != null) {
            now = at;
            asking = l;
            l.wish(at, what);
            settle(l);
            arm();
        }
        return l != null;
    }

    /** The keepers are to be these from now on. Why that can't be, in plain words; null: it has begun. */
    public String keepers(Moment at, List<String> names) {
        if (!keepers.known()) {
            return "the keepers are not known here yet";
        }
        if (reform != null) {
            return "the keepers are being changed already";
        }
        if (names.isEmpty() || names.stream().distinct().count() != names.size()) {
            return "expected different names, separated by commas";
        }
        now = at;
        reform = new Reconfiguration(start.name(), start.life(), rules, names, this);
        reform.woken(at);
        arm();
        return null;
    }

    /** A page for people. */
    public String page(Moment at) {
        StringBuilder text = new StringBuilder();
        text.append(String.format("keepers %s%s%n",
                keepers.known() ? keepers.text().replace('|', ' ').trim()
                        : "not known yet: "
                                + String.join(",", start.keepers()) + " are asked",
                keeper == null ? ""
                        : ", this is one: "
                                + keeper.state().name().toLowerCase(java.util.Locale.ROOT)));
        leases.forEach((name, l) -> {
            LeaseRecord v = l.seen();
            String who = v == null ? "not known"
                    : v.free() ? v.term() > 0 ? "nobody's, kept for " + (v.wanted().isEmpty()
                            ? "nobody"
                            : v.wanted()) : "nobody's" : v.holder();
            String waits = l.holding() ? "acts for " + l.mayAct(at).seconds() + " s more"
                    : l.asking() ? "asks the keepers"
                            : l.heardAt() == null ? "no keeper has answered"
                                    : at.since(l.heardAt()).longerThan(rules.term())
                                            ? "no keeper has answered for " + at.since(l.heardAt()).seconds()
                                                    + " s"
                                            : "watches";
            text.append(String.format("  %-24s %-16s token %d, version %d, stands here for %s s, %s%s%n",
                    name, who,
                    v == null ? 0 : v.token(), v == null ? 0 : v.version(),
                    l.seenAt() == null ? "0" : at.since(l.seenAt()).seconds(), waits,
                    v == null || v.note().isEmpty() ? "" : ", note " + v.note()));
        });
        return text.toString();
    }

    // ---------------------------------------------------------------- keepers

    private void told(Message m) {
        AcceptorSet told = m.text().isEmpty() ? null : AcceptorSet.of(m.text());
        if (told != null) {
            learn(told);
        }
    }

    @Override
    public void learn(AcceptorSet newer) {
        if (newer.epoch() > keepers.epoch()) {
            keepers = newer;
            if (newer.changing() && reform == null && newer.names().contains(start.name())) {
                // Whoever began the change may be gone: each of its keepers ends it, the later the later it
                // is named.
                reform = new Reconfiguration(start.name(), start.life(), rules, newer, now, this);
            }
        }
    }

    /**
     * Who asks first for a lease that nobody holds, and who waits: fewer leases held first, then an order of
     * its own.
     */
    @Override
    public Span after(String lease, LeaseRecord seen) {
        int before = 0;
        int mine = held.getOrDefault(start.name(), 0);
        for (String other : there) {
            int theirs = held.getOrDefault(other, 0);
            if (!other.equals(start.name()) && (theirs < mine
                    || theirs == mine && order(lease, other) < order(lease, start.name()))) {
                before++;
            }
        }
        return rules.step().times(Math.min(before, 10));
    }

    private static long order(String lease, String name) {
        CRC32 crc = new CRC32();
        crc.update((lease + " " + name).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        return crc.getValue();
    }

    /** Whoever holds two more than another gives it one, no more often than is stated. */
    private void balance() {
        int mine = held.getOrDefault(start.name(), 0);
        String least = null;
        for (String other : there) {
            if (least == null || held.getOrDefault(other, 0) < held.getOrDefault(least, 0)) {
                least = other;
            }
        }
        if (now.since(balancedAt).longerThan(rules.balanceEvery())
                && mine - held.getOrDefault(least, 0) >= 2) {
            for (Map.Entry<String, LeaseClient> one : leases.entrySet()) {
                if (one.getValue().holding() && !one.getValue().asking()) {
                    balancedAt = now;
                    give(now, one.getKey(), least);
                    return;
                }
            }
        }
    }

    private void count(String lease, LeaseRecord v) {
        LeaseRecord before = counted.put(lease, v);
        if (before != null && !before.free()) {
            held.merge(before.holder(), -1, Integer::sum);
        }
        if (!v.free()) {
            held.merge(v.holder(), 1, Integer::sum);
        }
    }

    // ---------------------------------------------------------------- around a lease and a keeper

    @Override
    public AcceptorSet keepers() {
        return keepers;
    }

    @Override
    public long number() {
        return ++numbers;
    }

    @Override
    public double chance() {
        CRC32 crc = new CRC32();
        crc.update((start.seed() + " " + ++draws).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        return crc.getValue() / (double) (1L << 32);
    }

    @Override
    public void send(String to, Message m) {
        if ((m.kind() == Message.Kind.PREPARE || m.kind() == Message.Kind.ACCEPT) && asking != null) {
            Long before = attemptOf.put(asking, m.number());
            if (before != null && before != m.number()) {
                attempts.remove(before);
            }
            attempts.put(m.number(), asking);
        }
        out.send(to, Codec.write(m));
    }

    @Override
    public void tell(String lease, String what, LeaseRecord value) {
        out.tell(new Event(lease, what, value.token(), value.free() ? "-" : value.holder()));
    }

    @Override
    public void done(String lease, LeaseRecord value, Span took) {
        out.done(lease, value.version(), value.token(), value.holder(), took);
    }

    @Override
    public void put(String key, byte[] record) {
        out.put(key, record);
    }

    @Override
    public void answer(String to, Message message) {
        out.sendOnceSynced(to, Codec.write(message));
    }

    @Override
    public void tell(String what, String detail) {
        out.tell(new Event("", what, 0, detail));
    }

    // ---------------------------------------------------------------- time

    private void look(List<String> names) {
        for (int from = 0; from < names.size(); from += LOOKS) {
            List<String> some = List.copyOf(names.subList(from, Math.min(names.size(), from + LOOKS)));
            keepers.names().forEach(k -> send(k, Message.names(Message.Kind.LOOK, 0, some, List.of())));
        }
    }

    private void settle(LeaseClient lease) {
        String name = lease.name();
        asking = null;
        if (lease.seen() != null && lease.seen() != counted.get(name)) {
            count(name, lease.seen());
        }
        Moment due = keepers.known() ? lease.due() : now.plus(rules.lookEvery());
        Moment soon = now.plus(rules.term().times(SOON));
        due = due.before(soon) ? soon : due;
        if (!due.equals(dueOf.put(name, due))) {
            dues.add(new Due(due, name));
        }
    }

    private void arm() {
        Moment next = askAt;
        if (!dues.isEmpty()) {
            next = next.orEarlier(dues.peek().at);
        }
        if (keeper != null) {
            next = next.orEarlier(keeper.due());
        }
        if (reform != null) {
            next = next.orEarlier(reform.due());
        }
        next = next.before(now) ? now : next;
        if (armed == null || next.before(armed)) {
            armed = next;
            out.wakeAt(next);
        }
    }
}
