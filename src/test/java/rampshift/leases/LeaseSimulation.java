package rampshift.leases;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import rampshift.EventSimulation;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Dispatchers with leases in simulated time: clocks that differ, lost messages, crashes, slow disks, all by a
 * seed.
 */
final class LeaseSimulation extends EventSimulation {
    static final LeaseTimings RULES = new LeaseTimings(Span.ofMillis(1000), 0.05, Span.ofMillis(1L << 40));

    final Map<String, Node> nodes = new TreeMap<>();
    final SplittableRandom chance;
    final List<String> leases;
    private final List<String> keepers = new ArrayList<>();
    // the highest token under which anybody acted, by lease
    private final Map<String, Long> acted = new TreeMap<>();
    private final Map<String, String> actor = new TreeMap<>();
    private long lives;
    double lost;
    double repeated;
    double mostMs = 5;
    double syncMs = 1;
    long takeovers;             // changes of who acts
    long messages;
    long bytes;
    long syncs;

    /** One process after another under one name. */
    final class Node implements LeaseManager.Out {
        final String name;
        final List<Event> told = new ArrayList<>();
        TreeMap<String, byte[]> disk;       // null: it keeps nothing
        long position;
        double rate = 1;
        LeaseManager all;
        private Map<String, LeaseClient> lease = Map.of();
        boolean cut;
        private final List<Object[]> unsynced = new ArrayList<>();
        private final List<Runnable> waiting = new ArrayList<>();
        private boolean syncing;
        private boolean stopped;
        private long process;
        private long wakes;

        Node(String name) {
            this.name = name;
        }

        Moment clock() {
            return new Moment(1_000_000_000L + Math.round(now * rate));
        }

        void start() {
            long life = ++lives;
            process = life;
            stopped = false;
            waiting.clear();
            unsynced.clear();
            syncing = false;
            wakes++;
            all = new LeaseManager(new LeaseManager.Start(name, life, keepers, leases, RULES, life), this);
            lease = leasesOf(all);
            all.start(clock(), disk, position, 1000 + life);
            List<String> there = nodes.values().stream().filter(n -> n.all != null).map(n -> n.name).toList();
            nodes.values().stream().filter(n -> n.all != null).forEach(n -> n.all.there(there));
        }

        /** With what its disk has by now. */
        void kill() {
            all = null;
            process = -1;
        }

        void stop(boolean on) {
            stopped = on;
            if (!on) {
                List<Runnable> some = List.copyOf(waiting);
                waiting.clear();
                some.forEach(this::run);
            }
        }

        private void run(Runnable what) {
            if (stopped) {
                waiting.add(what);
            } else if (all != null) {
                Map<String, RegisterChange> before = new TreeMap<>();
                lease.forEach((name, l) -> before.put(name, (RegisterChange) StateCopier.get(l, "change")));
                what.run();
                lease.forEach((name, l) -> history(name, before.get(name),
                        (RegisterChange) StateCopier.get(l, "change")));
                check(this);
            }
        }

        @Override
        public void send(String to, byte[] message) {
            Node other = nodes.get(to);
            messages++;
            bytes += message.length;
            int copies = chance.nextDouble() < repeated ? 2 : 1;
            for (int i = 0; other != null && i < copies; i++) {
                if (other == this || chance.nextDouble() >= lost && cut == other.cut) {
                    after(chance.nextDouble() * mostMs,
                            () -> other.run(() -> other.all.message(other.clock(), name, message)));
                }
            }
        }

        @Override
        public void put(String key, byte[] record) {
            unsynced.add(new Object[]{key, record});
            sync();
        }

        @Override
        public void sendOnceSynced(String to, byte[] message) {
            unsynced.add(new Object[]{to, message, true});
            sync();
        }

        private void sync() {
            if (syncing) {
                return;
            }
            syncing = true;
            long of = process;
            after(syncMs * (0.5 + chance.nextDouble()), () -> {
                if (process != of) {
                    return;         // it died before
                }
                syncing = false;
                List<Object[]> batch = List.copyOf(unsynced);
                syncs += batch.stream().anyMatch(o -> o.length == 2) ? 1 : 0;
                unsynced.clear();
                for (Object[] one : batch) {
                    if (one.length == 2) {
                        disk.put((String) one[0], (byte[]) one[1]);
                        position++;
                    }
                }
                run(() -> {
                    all.synced(position);
                    for (Object[] one : batch) {
                        if (one.length == 3) {
                            send((String) one[0], (byte[]) one[1]);
                        }
                    }
                });
            });
        }

        @Override
        public void wakeAt(Moment when) {
            long wake = ++wakes;
            long of = process;
            due(Math.max(now, (long) Math.ceil((when.micros() - 1_000_000_000L) / rate) + 1), () -> {
                if (wake == wakes && process == of) {
                    run(() -> all.woken(clock()));
                }
            });
        }

        @Override
        public void done(String register, long version, long token, String holder, Span took) {
            // Sim keeps its own history.
        }

        @Override
        public void tell(Event event) {
            told.add(event);
        }

        boolean acts(String lease) {
            return all != null && all.mayAct(lease, clock()).longerThan(Span.ZERO);
        }
    }

    LeaseSimulation(long seed, int dispatchers, int keeping, int leases) {
        chance = new SplittableRandom(seed);
        this.leases = java.util.stream.IntStream.range(0, leases).mapToObj(i -> "l" + i).toList();
        for (int i = 1; i <= dispatchers; i++) {
            Node n = new Node("d" + i);
            nodes.put(n.name, n);
            if (i <= keeping) {
                n.disk = new TreeMap<>();
                keepers.add(n.name);
            }
        }
    }

    LeaseSimulation startAll() {
        nodes.values().forEach(Node::start);
        return this;
    }

    Node node(int number) {
        return nodes.get("d" + number);
    }

    /** Clocks drawn within the bound. */
    void drift() {
        nodes.values().forEach(n -> n.rate = 1 + RULES.drift() * (2 * chance.nextDouble() - 1));
    }

    void after(double ms, Runnable what) {
        due(now + Math.round(ms * 1000), what);
    }

    LeaseSimulation run(double seconds) {
        go(seconds);
        return this;
    }

    double until(double most, java.util.function.BooleanSupplier so) {
        return until(most, 0.01, so);
    }

    /**
     * After whatever a node did: under what it may act nobody else may, and nobody ever did with a higher
     * token.
     */
    private void check(Node n) {
        for (String lease : n.all == null ? List.<String>of() : leases) {
            if (!n.acts(lease)) {
                continue;
            }
            String last = actor.get(lease);
            if (last != null && !last.equals(n.name) && nodes.get(last).acts(lease)) {
                throw new AssertionError(now + ": " + last + " and " + n.name + " may act under " + lease);
            }
            long token = n.all.token(lease);
            long before = acted.getOrDefault(lease, 0L);
            if (token < before || token == before && !n.name.equals(last)) {
                throw new AssertionError(now + ": " + n.name + " acts under " + lease + " with token " + token
                        + " after " + before
                        + " of " + last);
            }
            if (token > before) {
                takeovers++;
                acted.put(lease, token);
                actor.put(lease, n.name);
            }
        }
    }

    @SuppressWarnings("unchecked")
    private static Map<String, LeaseClient> leasesOf(LeaseManager all) {
        return (Map<String, LeaseClient>) StateCopier.get(all, "leases");
    }

    /** A change that was asked for, and known as done: by which value. */
    private record Done(long asked, long known, LeaseRecord value) {}

    private final Map<RegisterChange, Long> asked = new java.util.IdentityHashMap<>();
    private final Map<String, List<Done>> done = new TreeMap<>();

    private void history(String lease, RegisterChange before, RegisterChange after) {
        if (after != null) {
            asked.putIfAbsent(after, now);
        }
        if (before != null && before != after) {
            Long from = asked.remove(before);
            if (before.state() == RegisterChange.State.DONE) {
                done.computeIfAbsent(lease, k -> new ArrayList<>()).add(new Done(from, now, before.value()));
            }
        }
    }

    /**
     * Each register's changes as they were seen from outside are those of one register: a version is one
     * value, and what
     * was known as done before another was asked for comes before it. Versions make the order total: no
     * search is needed.
     */
    long linear() {
        long looked = 0;
        for (List<Done> all : done.values()) {
            Map<Long, LeaseRecord> values = new TreeMap<>();
            for (Done d : all) {
                LeaseRecord one = values.putIfAbsent(d.value.version(), d.value);
                if (one != null && !one.equals(d.value)) {
                    throw new AssertionError("two values of one version: " + one + " and " + d.value);
                }
            }
            List<Done> byAsked = new ArrayList<>(all);
            byAsked.sort((a, b) -> Long.compare(a.asked, b.asked));
            List<Done> byKnown = new ArrayList<>(all);
            byKnown.sort((a, b) -> Long.compare(a.known, b.known));
            long highest = 0;
            int known = 0;
            for (Done d : byAsked) {
                for (; known < byKnown.size() && byKnown.get(known).known < d.asked; known++) {
                    highest = Math.max(highest, byKnown.get(known).value.version());
                }
                if (d.value.version() < highest) {
                    throw new AssertionError("asked for after version " + highest + " was known: " + d.value);
                }
                looked++;
            }
        }
        return looked;
    }

    String actor(String lease) {
        return nodes.values().stream().filter(n -> n.acts(lease)).map(n -> n.name).findFirst().orElse(null);
    }

    long token(String lease) {
        return acted.getOrDefault(lease, 0L);
    }
}
