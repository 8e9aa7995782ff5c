package rampshift.leases;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * One that keeps registers: an acceptor of CASPaxos. Whatever it answers it has on disk first. One whose
 * directory is
 * new, older than what others have seen of it, or not the one that the keepers were made with, does not vote.
 */
final class Acceptor {
    /** Carries out what is decided. */
    interface Out {
        /** A record; a later one of the same key takes its place. */
        void put(String key, byte[] record);

        /** Once all records so far are on disk. */
        void answer(String to, Message message);

        /** At once. */
        void send(String to, Message message);

        void tell(String what, String detail);
    }

    /** Whether it votes, and why not. */
    enum State { NEW, ASKING, VOTING, LOST, OLD, OUT }

    private static final String REGISTER = "r ";
    private static final String KEEPERS = "keepers";
    private static final String SELF = "self";
    private static final String WITNESS = "w ";
    private static final int MOST = 4096;   // registers, and directories of others, that are remembered
    // records that another may be ahead of what is written down of it here
    private static final int FAR = 64;

    /** What others saw of a keeper: how often it had been started, and how many records it had then. */
    private record Seen(long boot, long position) {
        boolean beyond(Seen other) {
            return boot > other.boot || boot == other.boot && position > other.position;
        }
    }

    private final String name;
    private final List<String> named;
    private final Span every;
    private final Out out;
    private final Map<String, AcceptorState> slots = new TreeMap<>();
    private final Map<Long, Seen> witnessed = new HashMap<>();
    private final Map<Long, Seen> writtenOf = new HashMap<>();      // of these, what is on disk
    // ids told by others with no keepers of their own
    private final Map<String, Long> strangers = new TreeMap<>();
    // who answered in the present step of the start
    private final Set<String> asked = new TreeSet<>();
    private AcceptorSet keepers = AcceptorSet.UNKNOWN;
    private State state = State.NEW;
    private long id;
    private long boot;
    private long bootsOnDisk;
    private long position;
    private boolean registering;
    private Moment nextAt;

    /** Named: the first keepers, by the operator's file. Every: between two words to the other keepers. */
    Acceptor(String name, List<String> named, Span every, Out out) {
        this.name = name;
        this.named = named;
        this.every = every;
        this.out = out;
    }

    /** Begins with what its directory holds. NewId: what a directory that is empty is given. */
    void start(Moment now, Map<String, byte[]> disk, long position, long newId) {
        this.position = position;
        nextAt = now;
        byte[] self = disk.get(SELF);
        if (self == null) {
            id = newId;
            out.put(SELF, longs(id, 0));
        } else {
            ByteBuffer b = ByteBuffer.wrap(self);
            id = b.getLong();
            bootsOnDisk = b.getLong();
        }
        boot = bootsOnDisk;
        disk.forEach((key, record) -> {
            if (key.startsWith(REGISTER)) {
                slots.put(key.substring(REGISTER.length()), Codec.slot(record));
            } else if (key.startsWith(WITNESS)) {
                ByteBuffer b = ByteBuffer.wrap(record);
                long of = Long.parseUnsignedLong(key.substring(WITNESS.length()), 16);
                writtenOf.put(of, new Seen(b.getLong(), b.getLong()));
                witnessed.put(of, writtenOf.get(of));
            } else if (key.equals(KEEPERS)) {
                keepers = AcceptorSet.of(new String(record, java.nio.charset.StandardCharsets.US_ASCII));
            }
        });
        if (keepers.known()) {
            into(keepers.has(name, id) ? State.ASKING : State.OUT);
        }
    }

    private static byte[] longs(long a, long b) {
        return ByteBuffer.allocate(16).putLong(a).putLong(b).array();
    }

    State state() {
        return state;
    }

    AcceptorSet keepers() {
        return keepers;
    }

    /** How many records are on disk, as told by what writes them. */
    void synced(long position) {
        this.position = position;
    }

    Moment due() {
        return nextAt;
    }

    // ---------------------------------------------------------------- the start

    void woken(Moment now) {
        if (now.before(nextAt)) {
            return;
        }
        nextAt = now.plus(every);
        for (String other : keepers.known() ? keepers.names() : new TreeSet<>(named)) {
            if (!other.equals(name)) {
                out.send(other, Message.hello(Message.Kind.HELLO, 0, keepers, id, boot, position));
            }
        }
        step();
    }

    private void into(State next) {
        if (state != next) {
            state = next;
            out.tell("keeper", next.name());
        }
    }

    /** One more step, if enough have answered. Alone it may have to take several. */
    private void step() {
        if (state == State.NEW && !keepers.known() && !named.isEmpty() && named.get(0).equals(name)) {
            form();
        }
        while (state == State.ASKING && enough()) {
            asked.clear();
            if (registering) {
                into(State.VOTING);
            } else {
                // Others hear of this start before it votes: an older copy of the directory would be found by
                // it.
                registering = true;
                boot = bootsOnDisk + 1;
                out.put(SELF, longs(id, boot));
                nextAt = new Moment(0);
            }
        }
    }

    private boolean enough() {
        Set<String> with = new TreeSet<>(asked);
        with.add(name);
        return keepers.agreed(with);
    }

    /** The first that is named makes the keepers, when all that are named have directories that are new. */
    private void form() {
        List<AcceptorSet.One> all = new ArrayList<>();
        for (String one : named) {
            Long known = one.equals(name) ? Long.valueOf(id) : strangers.get(one);
            if (known == null) {
                return;
            }
            all.add(new AcceptorSet.One(one, known));
        }
        adopt(new AcceptorSet(1, all, List.of()));
    }

    private void adopt(AcceptorSet newer) {
        keepers = newer;
        out.put(KEEPERS, newer.text().getBytes(java.nio.charset.StandardCharsets.US_ASCII));
        out.tell("keepers", newer.text());
        if (!newer.has(name, id)) {
            into(newer.names().contains(name) ? State.LOST : State.OUT);
        } else if (state == State.NEW || state == State.LOST || state == State.OUT) {
            asked.clear();
            registering = false;
            into(State.ASKING);
            step();
        }
    }

    // ---------------------------------------------------------------- messages

    void message(Moment now, String from, Message m) {
        switch (m.kind()) {
            case PREPARE, ACCEPT -> vote(from, m);
            case LOOK -> look(from, m);
            case LIST -> {
                if (state == State.VOTING && m.epoch() == keepers.epoch()) {
                    list(from, m);
                }
            }
            case ADOPT -> {
                AcceptorSet told = AcceptorSet.of(m.text());
                if (told != null && told.epoch() > keepers.epoch()) {
                    adopt(told);
                }
                if (keepers.known()) {
                    out.answer(from, Message.keepers(Message.Kind.ADOPTED, m.number(), keepers));
                }
            }
            case HELLO -> hello(from, m);
            case HELLO_BACK -> helloBack(from, m);
            default -> {
            }
        }
    }

    private void hello(String from, Message m) {
        Seen known = witnessed.getOrDefault(m.id(), new Seen(0, 0));
        Seen now = new Seen(m.boot(), m.position());
        if (m.id() != 0 && now.beyond(known) && (witnessed.size() < MOST || witnessed.containsKey(m.id()))) {
            witnessed.put(m.id(), now);
            Seen written = written(m.id());
            if (now.boot > written.boot || now.position >= written.position + FAR) {
                writtenOf.put(m.id(), now);
                out.put(WITNESS + Long.toHexString(m.id()), longs(now.boot, now.position));
            }
        }
        long told = state == State.OLD ? 0 : id;
        out.answer(from,
                Message.hello(Message.Kind.HELLO_BACK, m.boot(), keepers, told, known.boot, known.position));
    }

    private Seen written(long of) {
        return writtenOf.getOrDefault(of, new Seen(0, 0));
    }

    private void helloBack(String from, Message m) {
        AcceptorSet told = m.text().isEmpty() ? null : AcceptorSet.of(m.text());
        if (told != null && told.epoch() > keepers.epoch()) {
            adopt(told);
        }
        if (told == null && named.contains(from) && m.id() != 0) {
            strangers.put(from, m.id());
        } else {
            strangers.remove(from);
        }
        if (state == State.ASKING && m.number() == boot) {
            if (new Seen(m.boot(), m.position()).beyond(new Seen(boot, position)) && !registering) {
                into(State.OLD);
            } else if (keepers.has(from, m.id())) {
                asked.add(from);        // one that keeps nothing, or lost what it kept, is no witness
            }
        }
        step();
    }

    private void vote(String from, Message m) {
        if (state != State.VOTING) {
            out.send(from,
                    Message.answer(Message.Kind.SILENT, m, Ballot.NONE, Ballot.NONE, LeaseRecord.FREE));
            return;
        }
        if (m.epoch() != keepers.epoch()) {
            out.send(from,
                    Message.keepers(m.epoch() < keepers.epoch() ? Message.Kind.STALE : Message.Kind.BEHIND,
                            m.number(),
                            keepers));
            return;
        }
        if (slots.size() >= MOST && !slots.containsKey(m.register())) {
            out.send(from,
                    Message.answer(Message.Kind.SILENT, m, Ballot.NONE, Ballot.NONE, LeaseRecord.FREE));
            return;
        }
        AcceptorState s = slots.getOrDefault(m.register(), AcceptorState.EMPTY);
        int order = m.ballot().compareTo(s.promised());
        if (m.kind() == Message.Kind.PREPARE) {
            if (order <= 0) {
                refuse(from, m, s);
            } else {
                put(m.register(), new AcceptorState(m.ballot(), s.accepted(), s.value()));
                out.answer(from,
                        Message.answer(Message.Kind.PROMISED, m, m.ballot(), s.accepted(), s.value()));
            }
        } else if (order < 0) {
            refuse(from, m, s);
        } else {
            put(m.register(), new AcceptorState(m.ballot().next(), m.ballot(), m.value()));
            out.answer(from,
                    Message.answer(Message.Kind.ACCEPTED, m, m.ballot(), m.ballot(), LeaseRecord.FREE));
        }
    }

    private void refuse(String from, Message m, AcceptorState s) {
        out.send(from, Message.answer(Message.Kind.REFUSED, m, s.promised(), s.accepted(), LeaseRecord.FREE));
    }

    private void put(String register, AcceptorState slot) {
        slots.put(register, slot);
        out.put(REGISTER + register, Codec.write(slot));
    }

    /**
     * What it has taken, asked for without a promise: a hint, on which nothing rests but how long one waits.
     */
    private void look(String from, Message m) {
        if (state != State.VOTING) {
            return;
        }
        List<String> names = new ArrayList<>();
        List<LeaseRecord> values = new ArrayList<>();
        for (String one : m.names()) {
            names.add(one);
            values.add(slots.getOrDefault(one, AcceptorState.EMPTY).value());
        }
        while (!names.isEmpty()) {
            int count = Codec.fitting(values, names);
            out.send(from, Message.names(Message.Kind.SEEN, m.number(), List.copyOf(names.subList(0, count)),
                    List.copyOf(values.subList(0, count))));
            names.subList(0, count).clear();
            values.subList(0, count).clear();
        }
    }

    /** All registers, after the one whose name is asked after; an empty answer ends them. */
    private void list(String from, Message m) {
        List<String> some = new ArrayList<>();
        int room = Codec.MOST / 2;
        for (String one : slots.keySet()) {
            if (one.compareTo(m.register()) > 0 && !one.equals(AcceptorSet.REGISTER)) {
                room -= one.length() + 2;
                if (room < 0) {
                    break;
                }
                some.add(one);
            }
        }
        out.send(from, Message.names(Message.Kind.LISTED, m.number(), some, List.of()));
    }
}
