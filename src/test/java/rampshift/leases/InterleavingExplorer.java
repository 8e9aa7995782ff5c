package rampshift.leases;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Walks the interleavings of a small world over the real state machines of keepers and leases. At each step
 * any message
 * under way may arrive, in any order; any may be lost, which is to arrive never; one may come twice; keepers
 * may crash
 * with what they have not synced; time goes on in steps whether a contender looks or not, so each may stand
 * still at any
 * point. What is asserted holds in each state.
 */
final class InterleavingExplorer {
    /** Micros of a step of time, and of a term. */
    static final long TICK = 1000;
    static final LeaseTimings RULES = new LeaseTimings(new Span(4 * TICK), 0.2, new Span(1L << 40));

    /**
     * What a walk may use up.
     *
     * @param ticks steps of time, from where it begins
     * @param numbers that each contender gives to what it asks for: each change takes one, each attempt at it
     * another
     * @param repeats messages that come twice
     * @param crashes of keepers
     * @param mostStates states, then it ends
     */
    record Bounds(int ticks, int numbers, int repeats, int crashes, long mostStates) {}

    /** A message under way; its number stands for all of it. */
    private record Under(String from, String to, Message message, long hash) {}

    /** A state of all of it. Nodes are shared between states until they change. */
    final class World {
        final Map<String, Node> nodes;
        final List<Under> under;
        int ticks;
        int repeats;
        int crashes;
        long tokens;            // the highest that anybody acted under
        final World before;
        final String step;

        World(World before, String step) {
            this.before = before;
            this.step = step;
            nodes = before == null ? new TreeMap<>() : new TreeMap<>(before.nodes);
            under = before == null ? new ArrayList<>() : new ArrayList<>(before.under);
            if (before != null) {
                ticks = before.ticks;
                repeats = before.repeats;
                crashes = before.crashes;
                tokens = before.tokens;
            }
        }

        /** The node of that name, as one of this state alone. */
        Node own(String name) {
            Node from = nodes.get(name);
            Map<Object, Object> shared = new IdentityHashMap<>();
            shared.put(InterleavingExplorer.this, InterleavingExplorer.this);
            Node to = StateCopier.copy(from, shared);
            nodes.put(name, to);
            return to;
        }

        long print() {
            long sum = ticks + 31L * (repeats + 31L * (crashes + 31L * tokens));
            for (Node n : nodes.values()) {
                sum = n.lease != null ? sum * 1_000_003 + n.print() : sum;
            }
            long keepers = 0;       // which of them is which makes no difference
            for (Node n : nodes.values()) {
                if (n.keeper != null) {
                    long one = n.print();
                    for (Under u : under) {
                        one += u.from.equals(n.name) || u.to.equals(n.name) ? mixed(u.hash) : 0;
                    }
                    for (Node c : nodes.values()) {
                        one = one * 31 + (c.lease != null && c.answered().contains(n.name) ? 7 : 0);
                    }
                    keepers += mixed(one);
                }
            }
            return mixed(sum) + keepers;
        }

        String path() {
            return before == null ? "" : before.path() + " " + step + ";";
        }
    }

    private static long hash(CharSequence text) {
        long sum = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            sum = (sum ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mixed(sum);
    }

    private static long mixed(long x) {
        long y = (x ^ x >>> 32) * 0x9e3779b97f4a7c15L;
        return (y ^ y >>> 29) * 0xbf58476d1ce4e5b9L;
    }

    /** A keeper or a contender. */
    final class Node implements Acceptor.Out, LeaseClient.Around {
        final String name;
        final double rate;
        Acceptor keeper;
        LeaseClient lease;
        final TreeMap<String, byte[]> disk = new TreeMap<>();
        final List<Object[]> unsynced = new ArrayList<>();      // key and record, or whom and what to answer
        long numbers;
        int delay;          // ticks that this contender waits longer than another would

        long printed;

        Node(String name, double rate, int delay) {
            this.name = name;
            this.rate = rate;
            this.delay = delay;
        }

        Moment now() {
            return new Moment(1_000_000 + Math.round(now.get().ticks * TICK * rate));
        }

        @Override
        public void put(String key, byte[] record) {
            unsynced.add(new Object[]{key, record});
        }

        @Override
        public void answer(String to, Message message) {
            if (unsafe == Bug.NO_SYNC) {
                send(to, message);
            } else {
                unsynced.add(new Object[]{to, message});
            }
        }

        @Override
        public void send(String to, Message message) {
            if (cut.contains(name + ">" + to)) {
                return;
            }
            now.get().under.add(new Under(name, to, message,
                    hash((name.startsWith("k") ? "" : name) + (to.startsWith("k") ? "" : to) + message)));
        }

        @Override
        public void tell(String what, String detail) {
            // Not looked at here.
        }

        @Override
        public AcceptorSet keepers() {
            return KEEPERS;
        }

        @Override
        public long number() {
            return ++numbers;
        }

        @Override
        public Span after(String lease, LeaseRecord seen) {
            return new Span(delay * TICK);
        }

        @Override
        public double chance() {
            return 1;
        }

        @Override
        public void done(String lease, LeaseRecord value, Span took) {
            // Not looked at here.
        }

        @Override
        public void tell(String lease, String what, LeaseRecord value) {
            // Not looked at here.
        }

        long print() {
            if (printed == 0) {
                Map<Object, Object> shared = new IdentityHashMap<>();
                shared.put(KEEPERS, "");
                shared.put(this, "");
                shared.put(answered(), "");
                StringBuilder text = new StringBuilder(1000);
                StateCopier.print(keeper == null ? null : StateCopier.get(keeper, "slots"), text, shared);
                StateCopier.print(lease, text, shared);
                unsynced.forEach(o -> {
                    StateCopier.print(o[0], text, shared);
                    StateCopier.print(o[1], text, shared);
                });
                printed = hash(text.append(numbers));
            }
            return printed;
        }

        @SuppressWarnings("unchecked")
        Set<String> answered() {
            Object change = lease == null ? null : StateCopier.get(lease, "change");
            return change == null ? Set.of() : (Set<String>) StateCopier.get(change, "answered");
        }

        void sync() {
            for (Object[] one : unsynced) {
                if (one[1] instanceof Message m) {
                    send((String) one[0], m);
                } else {
                    disk.put((String) one[0], (byte[]) one[1]);
                }
            }
            unsynced.clear();
        }

        void crash() {
            unsynced.clear();
            keeper = keeper(this);
        }
    }

    /**
     * What is broken on purpose: keepers answer before it is on disk; whoever waits leaves out that clocks
     * drift.
     */
    enum Bug {
        NONE, NO_SYNC, NO_DRIFT
    }

    static final AcceptorSet KEEPERS =
            new AcceptorSet(1, List.of(new AcceptorSet.One("k1", 1), new AcceptorSet.One("k2", 2),
                    new AcceptorSet.One("k3", 3)), List.of());

    private final ThreadLocal<World> now = new ThreadLocal<>();
    private final Bounds bounds;
    private final Set<String> cut;
    private final Bug unsafe;
    private final Set<Long> known = ConcurrentHashMap.newKeySet();
    private final ConcurrentLinkedDeque<World> open = new ConcurrentLinkedDeque<>();
    private final AtomicInteger busy = new AtomicInteger();
    private volatile String found;
    final AtomicLong states = new AtomicLong();
    final AtomicLong acted = new AtomicLong();      // states in which somebody may act
    final AtomicLong tokens = new AtomicLong();     // the highest token reached
    boolean whole;                                  // all within the bounds was walked

    /** Cut: ways by which nothing comes, as "a>k3". */
    InterleavingExplorer(Bounds bounds, Bug bug, Set<String> cut) {
        this.bounds = bounds;
        this.cut = cut;
        this.unsafe = bug;
    }

    /** One that votes at once: its start is another story. */
    private static Acceptor keeper(Node node) {
        Acceptor k = new Acceptor(node.name, List.of("k1"), new Span(1L << 40), node);
        TreeMap<String, byte[]> disk = new TreeMap<>(node.disk);
        k.start(new Moment(0), disk, 0, 0);
        StateCopier.set(k, "state", Acceptor.State.VOTING);
        return k;
    }

    private LeaseTimings rules() {
        return unsafe == Bug.NO_DRIFT ? new LeaseTimings(RULES.term(), 0, RULES.balanceEvery()) : RULES;
    }

    World begin() {
        World w = new World(null, "");
        now.set(w);
        for (int i = 1; i <= 3; i++) {
            Node n = new Node("k" + i, 1, 0);
            n.disk.put("keepers", KEEPERS.text().getBytes(java.nio.charset.StandardCharsets.US_ASCII));
            n.disk.put("self", java.nio.ByteBuffer.allocate(16).putLong(i).putLong(0).array());
            n.keeper = keeper(n);
            n.unsynced.clear();
            w.nodes.put(n.name, n);
        }
        w.under.clear();
        Node a = new Node("a", 1 - RULES.drift(), 0);
        Node b = new Node("b", 1 + RULES.drift(), 0);
        a.lease = new LeaseClient("l", "a", 101, rules(), a);
        b.lease = new LeaseClient("l", "b", 102, rules(), b);
        w.nodes.put("a", a);
        w.nodes.put("b", b);
        a.lease.heard(a.now(), LeaseRecord.FREE);
        b.lease.heard(b.now(), LeaseRecord.FREE);
        return w;
    }

    /** As in the first, until somebody holds: all that comes is taken in order. */
    World beginHeld() {
        World w = begin();
        w = with(w, "a", "wakes", x -> x.lease.woken(x.now()));
        while (!w.under.isEmpty()) {
            w = arrive(w, 0, false);
            for (String k : List.of("k1", "k2", "k3")) {
                w = with(w, k, "syncs", Node::sync);
            }
        }
        LeaseRecord stands = w.nodes.get("a").lease.seen();
        return with(w, "b", "hears", x -> x.lease.heard(x.now(), stands));
    }

    /**
     * Depth first and side by side, until all within the bounds is walked or so many states are known. What
     * broke, or null.
     */
    String walk(World first, int threads) throws InterruptedException {
        known.add(first.print());
        open.push(first);
        List<Thread> all = new ArrayList<>();
        for (int i = 0; i < threads; i++) {
            all.add(new Thread(this::work));
        }
        all.forEach(Thread::start);
        for (Thread t : all) {
            t.join();
        }
        whole = found == null && open.isEmpty();
        return found;
    }

    private void work() {
        try {
            while (found == null && states.get() < bounds.mostStates) {
                busy.incrementAndGet();
                World at = open.pollFirst();
                if (at != null) {
                    expand(at);
                }
                if (busy.decrementAndGet() == 0 && open.isEmpty()) {
                    return;
                }
            }
        } catch (RuntimeException | Error e) {
            found = e.toString();
        }
    }

    private void expand(World at) {
        for (Supplier<World> step : steps(at)) {
            World next = step.get();
            String broken = broken(next);
            if (broken != null) {
                found = broken + " after" + next.path();
                return;
            }
            if (next.nodes.values().stream().allMatch(n -> n.numbers <= bounds.numbers)
                    && known.add(next.print())) {
                open.push(next);
                states.incrementAndGet();
            }
        }
    }

    private String broken(World w) {
        now.set(w);
        int acting = 0;
        long highest = 0;
        for (Node n : w.nodes.values()) {
            if (n.lease != null && n.lease.mayAct(n.now()).longerThan(Span.ZERO)) {
                acting++;
                highest = Math.max(highest, n.lease.token());
            }
        }
        if (acting > 0) {
            acted.incrementAndGet();
            tokens.accumulateAndGet(highest, Math::max);
            if (highest < w.tokens) {
                return "a token fell from " + w.tokens + " to " + highest;
            }
            w.tokens = highest;
        }
        return acting > 1 ? "two act at once" : null;
    }

    private List<Supplier<World>> steps(World at) {
        List<Supplier<World>> all = new ArrayList<>();
        Set<Long> same = new HashSet<>();
        for (int i = 0; i < at.under.size(); i++) {
            int place = i;
            Under u = at.under.get(i);
            if (same.add(u.hash)) {
                all.add(() -> arrive(at, place, false));
                if (at.repeats < bounds.repeats) {
                    all.add(() -> arrive(at, place, true));
                }
            }
        }
        now.set(at);
        for (Node n : at.nodes.values()) {
            if (n.keeper != null && !n.unsynced.isEmpty()) {
                all.add(() -> with(at, n.name, "syncs", Node::sync));
            }
            if (n.lease != null && !n.now().before(n.lease.due())) {
                all.add(() -> with(at, n.name, "wakes", x -> x.lease.woken(x.now())));
            }
        }
        for (Node n : at.nodes.values()) {
            if (n.keeper != null && at.crashes < bounds.crashes) {
                all.add(() -> {
                    World w = with(at, n.name, "crashes", Node::crash);
                    w.crashes++;
                    return w;
                });
            }
        }
        if (at.ticks < bounds.ticks) {
            all.add(() -> {
                World w = new World(at, "tick");
                w.ticks++;
                return w;
            });
        }
        return all;
    }

    private World with(World at, String name, String what, java.util.function.Consumer<Node> change) {
        World w = new World(at, name + " " + what);
        now.set(w);
        Node n = w.own(name);
        n.printed = 0;
        change.accept(n);
        clear(w);
        return w;
    }

    private World arrive(World at, int place, boolean again) {
        Under u = at.under.get(place);
        World w = new World(at, u.from + ">" + u.to + " " + u.message.kind() + (again ? " twice" : ""));
        if (again) {
            w.repeats++;
        } else {
            w.under.remove(place);
        }
        now.set(w);
        Node n = w.own(u.to);
        n.printed = 0;
        if (n.keeper != null) {
            n.keeper.message(n.now(), u.from, u.message);
            if (bounds.crashes == 0) {
                n.sync();       // when that happens makes no difference unless it is lost
            }
        } else {
            n.lease.answer(n.now(), u.from, u.message);
        }
        clear(w);
        return w;
    }

    /** An answer to an attempt that is over changes nothing: it is as good as lost. */
    private static void clear(World w) {
        w.under.removeIf(u -> {
            Node n = w.nodes.get(u.to);
            return n.lease != null && u.message.number() != n.numbers;
        });
    }
}
