package rampshift.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import rampshift.EventSimulation;
import rampshift.time.Moment;
import rampshift.time.Span;

/** A simulated network between members, in simulated time; its faults depend on a seed. */
final class SimulatedNetwork extends EventSimulation {
    static final MembershipTimings TIMINGS =
            new MembershipTimings(Span.ofMillis(1000), Span.ofMillis(3_600_000));
    static final String FLEET = "fleet";

    /** The delay of a request over a stream, as a multiple of the delay of a datagram. */
    private static final double STREAM_DELAY_FACTOR = 2;
    private static final double CHECK_INTERVAL_SECONDS = 0.1;
    private static final int MICROS_PER_MILLI = 1000;
    private static final int MICROS_PER_SECOND = 1_000_000;
    private static final int HOSTS_PER_SUBNET = 250;

    final Map<String, Node> nodes = new TreeMap<>();
    final SplittableRandom random;
    double lossEverywhere;
    double duplicationRate;
    private final Map<String, Double> lossByLink = new HashMap<>(); // the key of a link is "d1>d2"
    private final List<String> seeds = new ArrayList<>();
    private final int minDelayMs = 1;
    private final int maxDelayMs = 20;

    /** A member with its current process, which may be killed and replaced by a new one of the same name. */
    final class Node implements MembershipOutput {
        final String name;
        final int index;
        final List<MembershipEvent> events = new ArrayList<>();
        final List<DrainNotice> drainNotices = new ArrayList<>();
        final Map<String, Long> incarnations = new HashMap<>();
        SwimMembership membership;
        private long startCount;
        private long wakeCount;
        private long clockMs = 1_000_000;
        private boolean paused;
        private final List<Runnable> pendingInputs = new ArrayList<>();

        Node(String name, int index) {
            this.name = name;
            this.index = index;
        }

        String address() {
            return "10.0." + index / HOSTS_PER_SUBNET + "." + (index % HOSTS_PER_SUBNET + 1) + ":7";
        }

        /** Starts a new process with the given clock time. */
        void start(long newClockMs) {
            clockMs = newClockMs;
            startCount++;
            long processId = startCount * 1000 + index;
            MemberIdentity self =
                    new MemberIdentity(name, clockMs, processId, address(), "site" + index % 2, "b",
                            clockMs, MemberIdentity.Phase.SERVING);
            membership = new SwimMembership(
                    new MembershipOptions(FLEET, self, seeds, Map.of(), TIMINGS, index), this);
            paused = false;
            pendingInputs.clear();
            incarnations.clear(); // a new process has no state
            wakeCount++;
            membership.start(moment());
        }

        void start() {
            start(clockMs + 1);
        }

        void kill() {
            membership = null;
            paused = false;
            pendingInputs.clear();
            wakeCount++;
        }

        boolean isRunning() {
            return membership != null;
        }

        void pause() {
            paused = true;
        }

        /** Resumes the process and handles the inputs received during the pause. */
        void resume() {
            paused = false;
            List<Runnable> inputs = List.copyOf(pendingInputs);
            pendingInputs.clear();
            inputs.forEach(this::handle);
        }

        private void handle(Runnable input) {
            if (paused) {
                pendingInputs.add(input);
            } else if (membership != null) {
                input.run();
                checkIncarnations();
            }
        }

        private void checkIncarnations() {
            List<MemberUpdate> others = membership == null ? List.of() : membership.others();
            for (MemberUpdate update : others) {
                MemberIdentity member = update.member();
                long previous = incarnations.getOrDefault(member.name(), 0L);
                if (member.incarnation() < previous) {
                    throw new AssertionError(name + " accepted an older update: " + update);
                }
                incarnations.put(member.name(), member.incarnation());
            }
        }

        @Override
        public void sendDatagram(String to, byte[] datagram) {
            Node receiver = byAddress(to);
            int copies = random.nextDouble() < duplicationRate ? 2 : 1;
            for (int i = 0; receiver != null && i < copies; i++) {
                if (random.nextDouble() >= lossEverywhere && random.nextDouble() >= loss(this, receiver)) {
                    after(delayMicros(),
                            () -> receiver.handle(() -> receiver.membership.onDatagram(moment(), address(),
                                    datagram, datagram.length)));
                }
            }
        }

        @Override
        public void requestSync(String to, byte[] request) {
            Node receiver = byAddress(to);
            SwimMembership requester = membership;
            if (receiver == null || loss(this, receiver) >= 1 || loss(receiver, this) >= 1) {
                return;
            }
            after(delayMicros() * STREAM_DELAY_FACTOR, () -> receiver.handle(() -> {
                byte[] response = receiver.membership.onSyncRequest(moment(), request, request.length);
                if (response != null) {
                    after(delayMicros(), () -> handle(() -> deliverResponse(requester, response)));
                }
            }));
        }

        private void deliverResponse(SwimMembership requester, byte[] response) {
            if (membership == requester) {
                membership.onSyncResponse(moment(), response, response.length);
            }
        }

        @Override
        public void wakeAt(Moment when) {
            wakeCount++;
            long wake = wakeCount;
            schedule(Math.max(now, when.micros()), () -> {
                if (wake == wakeCount) {
                    handle(() -> membership.onWake(moment()));
                }
            });
        }

        @Override
        public void onEvent(MembershipEvent event) {
            events.add(event);
        }

        @Override
        public void onDrainNotice(DrainNotice notice) {
            drainNotices.add(notice);
        }

        /** Returns the status of another member in the view of this one, or null if it is unknown. */
        MemberUpdate.Status statusOf(String other) {
            return membership.others().stream().filter(update -> update.member().name().equals(other))
                    .map(MemberUpdate::status).findFirst().orElse(null);
        }

        long eventCount(MembershipEvent.Kind kind) {
            return events.stream().filter(event -> event.kind() == kind).count();
        }
    }

    SimulatedNetwork(long seed, int count) {
        random = new SplittableRandom(seed);
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

    private Node byAddress(String address) {
        return nodes.values().stream().filter(node -> node.address().equals(address)).findFirst()
                .orElse(null);
    }

    private double loss(Node from, Node to) {
        return lossByLink.getOrDefault(from.name + ">" + to.name, 0.0);
    }

    /** Sets the fraction of datagrams lost in one direction between two members; 1 cuts the link. */
    void setLoss(String from, String to, double loss) {
        lossByLink.put(from + ">" + to, loss);
    }

    /** Cuts the links between members of different groups. */
    void partition(List<List<String>> groups) {
        groups.forEach(group -> groups.forEach(other -> {
            if (group != other) {
                group.forEach(from -> other.forEach(to -> setLoss(from, to, 1)));
            }
        }));
    }

    void heal() {
        lossByLink.clear();
        lossEverywhere = 0;
        duplicationRate = 0;
    }

    private double delayMicros() {
        return MICROS_PER_MILLI * (minDelayMs + random.nextDouble() * (maxDelayMs - minDelayMs));
    }

    private void after(double micros, Runnable action) {
        schedule(now + Math.round(micros), action);
    }

    void at(double seconds, Runnable action) {
        schedule(now + Math.round(seconds * MICROS_PER_SECOND), action);
    }

    SimulatedNetwork run(double seconds) {
        advance(seconds);
        return this;
    }

    /** Runs until the condition holds; returns the elapsed seconds, or -1 if the time is exceeded. */
    double until(double maxSeconds, BooleanSupplier condition) {
        return advanceUntil(maxSeconds, CHECK_INTERVAL_SECONDS, condition);
    }

    /** Returns whether all running members consider exactly the running members to be alive. */
    boolean agree() {
        for (Node observer : nodes.values()) {
            for (Node other : nodes.values()) {
                if (observer != other && observer.isRunning() && !hasCorrectStatus(observer, other)) {
                    return false;
                }
            }
        }
        return true;
    }

    private static boolean hasCorrectStatus(Node observer, Node other) {
        MemberUpdate.Status status = observer.statusOf(other.name);
        if (other.isRunning()) {
            return status == MemberUpdate.Status.ALIVE;
        }
        return status == null || !status.isReachable();
    }
}
