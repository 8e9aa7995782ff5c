package rampshift.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import rampshift.EventSimulation;
import rampshift.time.Moment;
import rampshift.time.Span;

/** A network in simulated time, drawn by a seed, between as many members as a story wants. */
final class SimulatedNetwork extends EventSimulation {
    static final MembershipTimings RULES =
            new MembershipTimings(Span.ofMillis(1000), Span.ofMillis(3_600_000));
    private static final double STREAM_AFTER = 2;       // times a datagram's way

    final Map<String, Node> nodes = new TreeMap<>();
    final SplittableRandom chance;
    private final Map<String, Double> lost = new HashMap<>();     // by way, "a>b"
    private final List<String> seeds = new ArrayList<>();
    double lostEverywhere;
    double repeated;
    int leastMs = 1;
    int mostMs = 20;

    /** One process after another under one name. */
    final class Node implements SwimMembership.Out {
        final String name;
        final int place;
        final List<Event> told = new ArrayList<>();
        final List<DrainNotice> heard = new ArrayList<>();
        final Map<String, Long> incarnations = new HashMap<>();
        SwimMembership roll;
        private long lives;
        private long wakes;
        private long clockMs = 1_000_000;
        private boolean stopped;
        private final List<Runnable> waiting = new ArrayList<>();

        Node(String name, int place) {
            this.name = name;
            this.place = place;
        }

        String address() {
            return "10.0." + place / 250 + "." + (place % 250 + 1) + ":7";
        }

        /** A new process; its clock says what it will. */
        void start(long clockMs) {
            this.clockMs = clockMs;
            long life = ++lives * 1000 + place;
            roll = new SwimMembership(new SwimMembership.Start("fleet",
                    new MemberIdentity(name, clockMs, life, address(), "site" + place % 2, "b", clockMs,
                            MemberIdentity.Doing.SERVING),
                    seeds, Map.of(), RULES, place), this);
            stopped = false;
            waiting.clear();
            incarnations.clear();       // a new process remembers nothing
            wakes++;
            roll.start(moment());
        }

        void start() {
            start(clockMs + 1);
        }

        void kill() {
            roll = null;
            stopped = false;
            waiting.clear();
            wakes++;
        }

        void stop(boolean on) {
            stopped = on;
            if (!on) {
                List<Runnable> all = List.copyOf(waiting);
                waiting.clear();
                all.forEach(this::run);
            }
        }

        private void run(Runnable what) {
            if (stopped) {
                waiting.add(what);
            } else if (roll != null) {
                what.run();
                watch();
            }
        }

        private void watch() {
            for (MemberUpdate c : roll == null ? List.<MemberUpdate>of() : roll.others()) {
                long before = incarnations.getOrDefault(c.card().name(), 0L);
                if (c.card().incarnation() < before) {
                    throw new AssertionError(name + " took an older word of " + c);
                }
                incarnations.put(c.card().name(), c.card().incarnation());
            }
        }

        @Override
        public void send(String to, byte[] bytes) {
            Node other = byAddress(to);
            int copies = chance.nextDouble() < repeated ? 2 : 1;
            for (int i = 0; other != null && i < copies; i++) {
                if (chance.nextDouble() >= lostEverywhere && chance.nextDouble() >= loss(this, other)) {
                    after(way(), () -> other
                            .run(() -> other.roll.datagram(moment(), address(), bytes, bytes.length)));
                }
            }
        }

        @Override
        public void exchange(String to, byte[] whole) {
            Node other = byAddress(to);
            SwimMembership asker = roll;
            if (other == null || loss(this, other) >= 1 || loss(other, this) >= 1) {
                return;
            }
            after(way() * STREAM_AFTER, () -> other.run(() -> {
                byte[] answer = other.roll.asked(moment(), whole, whole.length);
                if (answer != null) {
                    after(way(), () -> run(() -> {
                        if (roll == asker) {
                            roll.exchanged(moment(), answer, answer.length);
                        }
                    }));
                }
            }));
        }

        @Override
        public void wakeAt(Moment when) {
            long wake = ++wakes;
            due(Math.max(now, when.micros()), () -> {
                if (wake == wakes) {
                    run(() -> roll.woken(moment()));
                }
            });
        }

        @Override
        public void tell(Event event) {
            told.add(event);
        }

        @Override
        public void heard(DrainNotice news) {
            heard.add(news);
        }

        MemberUpdate.Belief of(String other) {
            return roll.others().stream().filter(c -> c.card().name().equals(other)).map(MemberUpdate::belief)
                    .findFirst().orElse(null);
        }

        long count(Event.Kind kind) {
            return told.stream().filter(e -> e.kind() == kind).count();
        }
    }

    SimulatedNetwork(long seed, int count) {
        chance = new SplittableRandom(seed);
        for (int i = 0; i < count; i++) {
            Node node = new Node("d" + (i + 1), i);
            nodes.put(node.name, node);
        }
        seeds.add(node(1).address());
        if (count > 1) {
            seeds.add(node(2).address());
        }
    }

    Node node(int number) {
        return nodes.get("d" + number);
    }

    SimulatedNetwork startAll() {
        nodes.values().forEach(Node::start);
        return this;
    }

    Moment moment() {
        return new Moment(now);
    }

    private Node byAddress(String at) {
        return nodes.values().stream().filter(n -> n.address().equals(at)).findFirst().orElse(null);
    }

    private double loss(Node from, Node to) {
        return lost.getOrDefault(from.name + ">" + to.name, 0.0);
    }

    /** One way between two loses so much; 1: it is cut. */
    void way(String from, String to, double loss) {
        lost.put(from + ">" + to, loss);
    }

    /** Members of different groups don't reach one another. */
    void cut(List<List<String>> groups) {
        groups.forEach(a -> groups.forEach(b -> {
            if (a != b) {
                a.forEach(x -> b.forEach(y -> way(x, y, 1)));
            }
        }));
    }

    void heal() {
        lost.clear();
        lostEverywhere = 0;
        repeated = 0;
    }

    private double way() {
        return 1000 * (leastMs + chance.nextDouble() * (mostMs - leastMs));
    }

    private void after(double micros, Runnable what) {
        due(now + Math.round(micros), what);
    }

    void at(double seconds, Runnable what) {
        due(now + Math.round(seconds * 1_000_000), what);
    }

    SimulatedNetwork run(double seconds) {
        go(seconds);
        return this;
    }

    double until(double most, java.util.function.BooleanSupplier so) {
        return until(most, 0.1, so);
    }

    /** Whoever runs sees whoever runs as there, the others as not, and all see the same. */
    boolean agree() {
        for (Node a : nodes.values()) {
            for (Node b : nodes.values()) {
                if (a != b && a.roll != null) {
                    MemberUpdate.Belief belief = a.of(b.name);
                    if (b.roll != null ? belief != MemberUpdate.Belief.ALIVE
                            : belief == MemberUpdate.Belief.ALIVE || belief == MemberUpdate.Belief.SUSPECT) {
                        return false;
                    }
                }
            }
        }
        return true;
    }
}
