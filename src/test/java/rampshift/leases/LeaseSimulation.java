package rampshift.leases;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import rampshift.EventSimulation;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Simulates dispatchers with leases in virtual time, with clock drift, lost messages, crashes and slow disks
 * drawn from a seed. After every event it asserts that no two dispatchers may act under the same lease.
 */
final class LeaseSimulation extends EventSimulation {
    static final LeaseTimings TIMINGS = new LeaseTimings(Span.ofMillis(1000), 0.05, Span.ofMillis(1L << 40));

    private static final long CLOCK_START_MICROS = 1_000_000_000L;
    private static final long FIRST_DIRECTORY_ID = 1000;
    private static final double CHECK_INTERVAL_SECONDS = 0.01;

    final Map<String, Dispatcher> dispatchers = new TreeMap<>();
    final List<String> leases;
    /** Fractions of messages that are lost and that are delivered twice. */
    double lossRate;
    double repeatRate;
    double maxLatencyMillis = 5;
    double syncMillis = 1;
    /** Number of fencing tokens under which a dispatcher acted. */
    long takeovers;
    long messages;
    long bytes;
    long syncs;
    private final SplittableRandom random;
    private final List<String> acceptors = new ArrayList<>();
    private final Map<String, Long> highestTokenOf = new TreeMap<>();
    private final Map<String, String> lastActorOf = new TreeMap<>();
    private final RegisterHistory history = new RegisterHistory();
    private long processes;

    LeaseSimulation(long seed, int dispatcherCount, int acceptorCount, int leaseCount) {
        random = new SplittableRandom(seed);
        leases = IntStream.range(0, leaseCount).mapToObj(i -> "l" + i).toList();
        for (int i = 1; i <= dispatcherCount; i++) {
            Dispatcher dispatcher = new Dispatcher("d" + i);
            dispatchers.put(dispatcher.name, dispatcher);
            if (i <= acceptorCount) {
                dispatcher.disk = new TreeMap<>();
                acceptors.add(dispatcher.name);
            }
        }
    }

    /** A dispatcher, as a sequence of processes with the same name. */
    final class Dispatcher implements LeaseManager.Output {
        final String name;
        final List<LeaseEvent> events = new ArrayList<>();
        /** The records in the acceptor's directory; null if the dispatcher has no acceptor. */
        TreeMap<String, byte[]> disk;
        long recordCount;
        double clockRate = 1;
        /** Null while no process runs. */
        LeaseManager manager;
        /** Whether the dispatcher is partitioned: it reaches only others that are cut off as well. */
        boolean cutOff;
        private LeaseClients clients;
        private final List<PendingOutput> pending = new ArrayList<>();
        private final List<Runnable> paused = new ArrayList<>();
        private boolean isSyncing;
        private boolean isPaused;
        private long process;
        private long wakes;

        Dispatcher(String name) {
            this.name = name;
        }

        Moment clock() {
            return new Moment(CLOCK_START_MICROS + Math.round(now * clockRate));
        }

        void start() {
            processes++;
            process = processes;
            isPaused = false;
            paused.clear();
            pending.clear();
            isSyncing = false;
            wakes++;
            manager = new LeaseManager(
                    new LeaseManager.Settings(name, process, acceptors, leases, TIMINGS, process), this);
            clients = (LeaseClients) StateCopier.get(manager, "clients");
            if (disk == null) {
                manager.start(clock());
            } else {
                manager.startWithAcceptor(clock(), disk, recordCount, FIRST_DIRECTORY_ID + process);
            }
            List<Dispatcher> alive = dispatchers.values().stream().filter(Dispatcher::isRunning).toList();
            List<String> names = alive.stream().map(each -> each.name).toList();
            alive.forEach(each -> each.manager.setAlive(names));
        }

        boolean isRunning() {
            return manager != null;
        }

        /** Crashes the process; its disk keeps the records written so far. */
        void kill() {
            manager = null;
            process = -1;
        }

        void setPaused(boolean on) {
            isPaused = on;
            if (!on) {
                List<Runnable> missed = List.copyOf(paused);
                paused.clear();
                missed.forEach(this::run);
            }
        }

        private void run(Runnable action) {
            if (isPaused) {
                paused.add(action);
            } else if (isRunning()) {
                Map<String, Proposer> before = new TreeMap<>();
                clients.all().forEach(client -> before.put(client.name(), client.writer().proposer()));
                action.run();
                clients.all().forEach(client -> history.observe(client.name(), before.get(client.name()),
                        client.writer().proposer(), now));
                assertActsAlone(this);
            }
        }

        @Override
        public void send(String to, byte[] message) {
            Dispatcher other = dispatchers.get(to);
            messages++;
            bytes += message.length;
            int copies = random.nextDouble() < repeatRate ? 2 : 1;
            for (int i = 0; other != null && i < copies; i++) {
                if (other == this || (random.nextDouble() >= lossRate && cutOff == other.cutOff)) {
                    after(random.nextDouble() * maxLatencyMillis,
                            () -> other.run(() -> other.manager.onMessage(other.clock(), name, message)));
                }
            }
        }

        @Override
        public void persist(String key, byte[] value) {
            pending.add(new PendingOutput.Write(key, value));
            sync();
        }

        @Override
        public void sendAfterSync(String to, byte[] message) {
            pending.add(new PendingOutput.Send<>(to, message));
            sync();
        }

        private void sync() {
            if (isSyncing) {
                return;
            }
            isSyncing = true;
            long syncing = process;
            after(syncMillis * (0.5 + random.nextDouble()), () -> {
                if (process == syncing) {
                    isSyncing = false;
                    onSynced();
                }
            });
        }

        private void onSynced() {
            List<PendingOutput> batch = List.copyOf(pending);
            pending.clear();
            syncs += batch.stream().anyMatch(each -> each instanceof PendingOutput.Write) ? 1 : 0;
            for (PendingOutput each : batch) {
                if (each instanceof PendingOutput.Write write) {
                    disk.put(write.key(), write.value());
                    recordCount++;
                }
            }
            run(() -> {
                manager.onSynced(recordCount);
                for (PendingOutput each : batch) {
                    if (each instanceof PendingOutput.Send<?> send) {
                        send(send.to(), (byte[]) send.message());
                    }
                }
            });
        }

        @Override
        public void wakeAt(Moment time) {
            wakes++;
            long wake = wakes;
            long waking = process;
            long trueMicros = (long) Math.ceil((time.micros() - CLOCK_START_MICROS) / clockRate) + 1;
            schedule(Math.max(now, trueMicros), () -> {
                if (wake == wakes && process == waking) {
                    run(() -> manager.onTimer(clock()));
                }
            });
        }

        @Override
        public void changeCompleted(String register, LeaseRecord value, Span elapsed) {
            // The simulation records its own history.
        }

        @Override
        public void emit(LeaseEvent event) {
            events.add(event);
        }

        boolean mayAct(String lease) {
            return isRunning() && manager.remaining(lease, clock()).longerThan(Span.ZERO);
        }

        /** Returns whether an event of this type was reported whose detail has this prefix. */
        boolean hasReported(EventType type, String detailPrefix) {
            return events.stream()
                    .anyMatch(event -> event.type() == type && event.detail().startsWith(detailPrefix));
        }

        /** Returns the last state that the acceptor reported. */
        String lastAcceptorState() {
            return events.stream().filter(event -> event.type() == EventType.ACCEPTOR_STATE)
                    .reduce((earlier, later) -> later).orElseThrow().detail();
        }
    }

    LeaseSimulation startAll() {
        dispatchers.values().forEach(Dispatcher::start);
        return this;
    }

    Dispatcher dispatcher(int number) {
        return dispatchers.get("d" + number);
    }

    /** Draws the rates of all clocks within the permitted drift. */
    void drawClockRates() {
        dispatchers.values()
                .forEach(each -> each.clockRate = 1 + TIMINGS.drift() * (2 * random.nextDouble() - 1));
    }

    void after(double millis, Runnable action) {
        schedule(now + Math.round(millis * 1000), action);
    }

    LeaseSimulation run(double seconds) {
        advance(seconds);
        return this;
    }

    /** Runs until the condition holds; returns the elapsed seconds, or -1 on a timeout. */
    double runUntil(double maxSeconds, BooleanSupplier condition) {
        return advanceUntil(maxSeconds, CHECK_INTERVAL_SECONDS, condition);
    }

    /**
     * Asserts for each lease under which the dispatcher may act that no other dispatcher may, that the token
     * has not decreased, and that no other dispatcher acted with the same token.
     */
    private void assertActsAlone(Dispatcher dispatcher) {
        if (!dispatcher.isRunning()) {
            return;
        }
        for (String lease : leases) {
            if (dispatcher.mayAct(lease)) {
                assertActsAlone(dispatcher, lease);
            }
        }
    }

    private void assertActsAlone(Dispatcher dispatcher, String lease) {
        String name = dispatcher.name;
        String last = lastActorOf.get(lease);
        if (last != null && !last.equals(name) && dispatchers.get(last).mayAct(lease)) {
            throw new AssertionError(now + ": " + last + " and " + name + " may act under " + lease);
        }
        long token = dispatcher.manager.token(lease);
        long highest = highestToken(lease);
        if (token < highest || (token == highest && !name.equals(last))) {
            throw new AssertionError(now + ": " + name + " acts under " + lease + " with token " + token
                    + " after " + highest + " of " + last);
        }
        if (token > highest) {
            takeovers++;
            highestTokenOf.put(lease, token);
            lastActorOf.put(lease, name);
        }
    }

    /** Asserts that all histories are linearizable; returns how many changes were checked. */
    long checkHistories() {
        return history.check();
    }

    /** Returns the dispatcher that may act under the lease; null for none. */
    String actor(String lease) {
        return dispatchers.values().stream().filter(each -> each.mayAct(lease)).map(each -> each.name)
                .findFirst().orElse(null);
    }

    /** Returns the highest token under which any dispatcher acted. */
    long highestToken(String lease) {
        return highestTokenOf.getOrDefault(lease, 0L);
    }
}
