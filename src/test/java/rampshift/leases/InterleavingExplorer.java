package rampshift.leases;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import rampshift.time.Span;

/**
 * A model checker that explores the interleavings of a small system of the real state machines of acceptors
 * and leases. At each step any message in flight may be delivered, in any order; a lost message is one that
 * is never delivered; a message may be delivered twice; an acceptor may crash and lose what it has not
 * synced; time advances in ticks whether or not a contender's timer is called, so that a contender may pause
 * at any point. The assertions are checked in each state.
 */
final class InterleavingExplorer {
    /** Duration of a tick; a term is four ticks. */
    static final long TICK_MICROS = 1000;
    static final LeaseTimings TIMINGS = new LeaseTimings(new Span(4 * TICK_MICROS), 0.2, new Span(1L << 40));

    private static final List<String> ACCEPTOR_NAMES = List.of("k1", "k2", "k3");

    /**
     * Bounds of an exploration.
     *
     * @param ticks maximum number of ticks from the first state
     * @param numbers maximum number of numbers per contender: each change takes one, and each attempt another
     * @param repeats maximum number of messages that are delivered twice
     * @param crashes maximum number of crashes of acceptors
     * @param maxStates number of states after which the exploration ends
     */
    record Bounds(int ticks, int numbers, int repeats, int crashes, long maxStates) {}

    /** A deliberate bug, which the exploration has to find. */
    enum Bug {
        NONE,
        /** Acceptors reply before their records are on disk. */
        NO_SYNC,
        /** Contenders ignore the drift of clocks. */
        NO_DRIFT
    }

    private final Bounds bounds;
    private final Bug bug;
    private final ExplorerNode.Environment environment;
    private final Set<Long> visited = ConcurrentHashMap.newKeySet();
    private final ConcurrentLinkedDeque<ExplorerState> frontier = new ConcurrentLinkedDeque<>();
    private final AtomicInteger busyThreads = new AtomicInteger();
    private final AtomicLong states = new AtomicLong();
    private final AtomicLong actingStates = new AtomicLong();
    private final AtomicLong highestToken = new AtomicLong();
    private volatile String violation;
    private boolean complete;

    /** Creates an explorer; the cut links, such as "a&gt;k3", deliver no messages. */
    InterleavingExplorer(Bounds bounds, Bug bug, Set<String> cutLinks) {
        this.bounds = bounds;
        this.bug = bug;
        environment = new ExplorerNode.Environment(cutLinks, bug == Bug.NO_SYNC);
    }

    /** Returns how many states were found. */
    long states() {
        return states.get();
    }

    /** Returns how often a state was reached in which a contender may act. */
    long actingStates() {
        return actingStates.get();
    }

    /** Returns the highest token under which a contender acted. */
    long highestToken() {
        return highestToken.get();
    }

    /** Returns whether all states within the bounds were explored. */
    boolean isComplete() {
        return complete;
    }

    /** Returns a state with three voting acceptors and two contenders for a lease that was never held. */
    ExplorerState initialState() {
        ExplorerState state = new ExplorerState();
        environment.enter(state);
        for (int id = 1; id <= ACCEPTOR_NAMES.size(); id++) {
            ExplorerNode acceptor = ExplorerNode.acceptor(environment, id);
            state.nodes.put(acceptor.name, acceptor);
        }
        state.inFlight.clear();
        LeaseTimings timings =
                bug == Bug.NO_DRIFT ? new LeaseTimings(TIMINGS.term(), 0, TIMINGS.balanceInterval())
                        : TIMINGS;
        ExplorerNode slow = ExplorerNode.contender(environment, "a", 101, 1 - TIMINGS.drift(), timings);
        ExplorerNode fast = ExplorerNode.contender(environment, "b", 102, 1 + TIMINGS.drift(), timings);
        for (ExplorerNode contender : List.of(slow, fast)) {
            state.nodes.put(contender.name, contender);
            contender.lease().onRead(contender.now(), LeaseRecord.INITIAL);
        }
        return state;
    }

    /** Returns the state after the slow contender acquired the lease and the fast one observed that. */
    ExplorerState heldState() {
        ExplorerState state = change(initialState(), "a", "wakes", node -> node.lease().onTimer(node.now()));
        while (!state.inFlight.isEmpty()) {
            state = deliver(state, 0, false);
            for (String acceptor : ACCEPTOR_NAMES) {
                state = change(state, acceptor, "syncs", ExplorerNode::sync);
            }
        }
        LeaseRecord held = state.nodes.get("a").lease().observer().current();
        return change(state, "b", "observes", node -> node.lease().onRead(node.now(), held));
    }

    /**
     * Explores depth first on several threads, until all states within the bounds are explored or the maximum
     * number is reached. Returns a violated assertion; null for none.
     */
    String explore(ExplorerState first, int threadCount) throws InterruptedException {
        visited.add(first.fingerprint());
        frontier.push(first);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < threadCount; i++) {
            threads.add(new Thread(this::runWorker));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        complete = violation == null && frontier.isEmpty();
        return violation;
    }

    private void runWorker() {
        try {
            while (violation == null && states.get() < bounds.maxStates) {
                busyThreads.incrementAndGet();
                ExplorerState state = frontier.pollFirst();
                if (state != null) {
                    expand(state);
                }
                if (busyThreads.decrementAndGet() == 0 && frontier.isEmpty()) {
                    return;
                }
            }
        } catch (RuntimeException | Error e) {
            violation = e.toString();
        }
    }

    private void expand(ExplorerState state) {
        for (Supplier<ExplorerState> step : steps(state)) {
            ExplorerState next = step.get();
            String found = violationIn(next);
            if (found != null) {
                violation = found + " after" + next.path();
                return;
            }
            boolean isWithinBounds =
                    next.nodes.values().stream().allMatch(node -> node.numbers() <= bounds.numbers);
            if (isWithinBounds && visited.add(next.fingerprint())) {
                frontier.push(next);
                states.incrementAndGet();
            }
        }
    }

    private String violationIn(ExplorerState state) {
        environment.enter(state);
        int acting = 0;
        long highest = 0;
        for (ExplorerNode node : state.nodes.values()) {
            if (node.isContender() && node.lease().remaining(node.now()).longerThan(Span.ZERO)) {
                acting++;
                highest = Math.max(highest, node.lease().token());
            }
        }
        if (acting > 0) {
            actingStates.incrementAndGet();
            highestToken.accumulateAndGet(highest, Math::max);
            if (highest < state.highestToken) {
                return "the token decreased from " + state.highestToken + " to " + highest;
            }
            state.highestToken = highest;
        }
        return acting > 1 ? "two contenders act at once" : null;
    }

    private List<Supplier<ExplorerState>> steps(ExplorerState state) {
        List<Supplier<ExplorerState>> steps = new ArrayList<>();
        addDeliveries(state, steps);
        environment.enter(state);
        for (ExplorerNode node : state.nodes.values()) {
            if (!node.isContender() && node.hasPendingOutput()) {
                steps.add(() -> change(state, node.name, "syncs", ExplorerNode::sync));
            }
            if (node.isContender() && !node.now().before(node.lease().dueAt())) {
                steps.add(() -> change(state, node.name, "wakes",
                        contender -> contender.lease().onTimer(contender.now())));
            }
        }
        addCrashes(state, steps);
        if (state.ticks < bounds.ticks) {
            steps.add(() -> {
                ExplorerState next = new ExplorerState(state, "tick");
                next.ticks++;
                return next;
            });
        }
        return steps;
    }

    private void addDeliveries(ExplorerState state, List<Supplier<ExplorerState>> steps) {
        Set<Long> hashes = new HashSet<>();
        for (int i = 0; i < state.inFlight.size(); i++) {
            int index = i;
            if (hashes.add(state.inFlight.get(i).hash())) {
                steps.add(() -> deliver(state, index, false));
                if (state.repeats < bounds.repeats) {
                    steps.add(() -> deliver(state, index, true));
                }
            }
        }
    }

    private void addCrashes(ExplorerState state, List<Supplier<ExplorerState>> steps) {
        for (ExplorerNode node : state.nodes.values()) {
            if (!node.isContender() && state.crashes < bounds.crashes) {
                steps.add(() -> {
                    ExplorerState next = change(state, node.name, "crashes", ExplorerNode::crash);
                    next.crashes++;
                    return next;
                });
            }
        }
    }

    private ExplorerState change(ExplorerState state, String name, String what,
            Consumer<ExplorerNode> change) {
        ExplorerState next = new ExplorerState(state, name + " " + what);
        environment.enter(next);
        change.accept(next.copyNode(name));
        dropStaleReplies(next);
        return next;
    }

    private ExplorerState deliver(ExplorerState state, int index, boolean repeated) {
        ExplorerState.InFlight delivered = state.inFlight.get(index);
        Message message = delivered.message();
        ExplorerState next = new ExplorerState(state, delivered.from() + ">" + delivered.to() + " "
                + message.getClass().getSimpleName() + (repeated ? " twice" : ""));
        if (repeated) {
            next.repeats++;
        } else {
            next.inFlight.remove(index);
        }
        environment.enter(next);
        ExplorerNode node = next.copyNode(delivered.to());
        node.onMessage(delivered.from(), message);
        if (!node.isContender() && bounds.crashes == 0) {
            node.sync(); // without crashes the time of the sync makes no difference
        }
        dropStaleReplies(next);
        return next;
    }

    /** Removes replies to attempts that have ended, which change nothing. */
    private static void dropStaleReplies(ExplorerState state) {
        state.inFlight.removeIf(each -> {
            ExplorerNode node = state.nodes.get(each.to());
            return node.isContender() && each.message().number() != node.numbers();
        });
    }
}
