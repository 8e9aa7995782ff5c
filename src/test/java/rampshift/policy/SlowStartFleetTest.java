package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Rule 4 over a whole fleet that shares nothing: many instances of the module, one set of workers that queue,
 * run and come
 * back cold. What is counted is the operators' rule: in no stated time may a cold worker be sent more than it
 * is allowed, N
 * runs, and what is put down to chance, twice the root of N and 2.
 */
class SlowStartFleetTest {
    private static final int SLOTS = 4;
    private static final double FROM = 0.12;
    private static final double COLD_MS = 24_000;
    private static final double FALL_MS = 1500;
    private static final double TIP = 4;
    /** docs/design.md tells what six gave. */
    private static final int SEEDS = Integer.getInteger("cold.seeds", 2);

    private record Event(double at, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Double.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Machine> machines = new ArrayList<>();
    private final Random random;
    private double now = 1_000_000;
    private double runMs = 50;
    private long order;

    SlowStartFleetTest() {
        random = new Random(1);
    }

    private void after(double ms, Runnable what) {
        events.add(new Event(now + ms, order++, what));
    }

    /** A worker: so many run at once, the rest waits; a cold one runs them slower. */
    private final class Machine {
        final long id;
        final double born;
        final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
        final ArrayDeque<Double> sent = new ArrayDeque<>();
        int busy;
        double worst;

        Machine(long id, double born) {
            this.id = id;
            this.born = born;
        }

        double warmth() {
            return born == 0 ? 1 : Math.min(1, FROM + (1 - FROM) * (now - born) / COLD_MS);
        }

        /** All that reaches it counts, also what it turns away or what is called off. */
        void take(Runnable start) {
            if (warmth() < 1) {
                sent.add(now);
                while (sent.peek() < now - FALL_MS) {
                    sent.poll();
                }
                double n = TIP * warmth() * SLOTS * FALL_MS / runMs;
                worst = Math.max(worst, sent.size() / (n + 2 * Math.sqrt(n) + 2));
            }
            waiting.add(start);
            next();
        }

        void next() {
            while (busy < SLOTS && !waiting.isEmpty()) {
                busy++;
                waiting.poll().run();
            }
        }
    }

    private final class Dispatcher implements Decisions {
        final DispatchPolicy policy;
        long tasks;
        double wake = Double.MAX_VALUE;

        Dispatcher(long seed) {
            Settings s = new Settings();
            s.seed = seed;
            s.maxAttempts = 3;
            s.mayCancel = true;
            s.mayHedge = true;
            s.reportsStart = true;
            s.retryAfterHints = true;
            s.maxRetryAfter = Span.ofMillis(2000);
            s.slowStartInitialShare = FROM;
            s.slowStartDuration = Span.ofMillis(COLD_MS);
            s.slowStartMaxLoadMultiple = TIP;
            for (TrafficType.Effect e : new TrafficType.Effect[]{TrafficType.Effect.IDEMPOTENT,
                    TrafficType.Effect.NON_IDEMPOTENT}) {
                s.types.add(new TrafficType(1, 0, Span.ofMillis(150), 3, Span.ofMillis(3000), e,
                        TrafficType.DeduplicationScope.ALL, Span.ofMillis(1000), null, null));
            }
            policy = new DispatchPolicy(s, Moment.ofMillis(now));
            list(EndpointListKind.CACHED, machines);
        }

        void list(EndpointListKind as, List<Machine> told) {
            policy.setNow(Moment.ofMillis(now));
            policy.onEndpointListBegin(as);
            for (Machine m : told) {
                policy.onEndpoint(
                        new ListedWorker(m.id, 0, (int) m.id, 0, EndpointState.READY, Moment.ofMillis(m.born),
                                SLOTS));
            }
            policy.onEndpointListEnd();
            pull();
        }

        void task() {
            long id = ++tasks;
            hear(() -> policy.onTaskArrived(id,
                    new TaskRequest(random.nextInt(4) == 0 ? 1 : 0, 0, Span.ZERO, 1, 0,
                            Span.ofMillis(3000))));
        }

        private void hear(Runnable input) {
            policy.setNow(Moment.ofMillis(now));
            input.run();
            pull();
        }

        private void pull() {
            boolean more = true;
            while (more) {
                more = policy.decideNext(this);
            }
        }

        private final java.util.Map<Long, List<boolean[]>> out = new java.util.HashMap<>();

        @Override
        public void forward(long task, long worker, Span timeout) {
            Machine m = machines.get((int) worker - 1);
            List<boolean[]> mine = out.computeIfAbsent(task, t -> new ArrayList<>());
            int number = mine.size();
            boolean[] off = {false};
            mine.add(off);
            after(0.5, () -> m.take(() -> {
                if (off[0]) {
                    m.busy--;
                    return;
                }
                hear(() -> policy.onAttemptStarted(task, number));
                after(runMs * (0.5 + random.nextDouble()) / m.warmth(), () -> {
                    m.busy--;
                    m.next();
                    if (!off[0]) {
                        off[0] = true;
                        hear(() -> {
                            policy.onLoadReport(m.id, SLOTS - m.busy, m.waiting.size(), m.busy, Double.NaN);
                            policy.onAttemptFinished(task, number, AttemptOutcome.FINISHED, true);
                        });
                    }
                });
            }));
        }

        @Override
        public void cancel(long task, int assignment) {
            out.get(task).get(assignment)[0] = true;
            after(0, () -> hear(
                    () -> policy.onAttemptFinished(task, assignment, AttemptOutcome.CALLED_OFF, false)));
        }

        @Override
        public void reject(long task, Span comeBackAfter) {
            // Its client is not played: the load is what it is.
        }

        @Override
        public void fail(long task) {
            // The same.
        }

        @Override
        public void probe(long worker) {
            throw new IllegalStateException("probes are not allowed here");
        }

        @Override
        public void subscribe() {
            // Lists come by themselves.
        }

        @Override
        public void wakeAt(Moment when) {
            wake = when.millis();
            double mine = wake;
            after(Math.max(0, mine - now), () -> {
                if (wake == mine) {
                    wake = Double.MAX_VALUE;
                    hear(policy::onTimer);
                }
            });
        }
    }

    /** Plays two seeds; the worst of all cold workers, as a part of what one may be sent. */
    private double worst(int dispatchers, int workers, int cold, double most, double load, double burst,
            double burstAfterMs) {
        double worst = 0;
        long toCold = 0, all = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            random.setSeed(seed);
            events.clear();
            machines.clear();
            double from = now;
            for (int i = 1; i <= workers; i++) {
                machines.add(new Machine(i, 0));
            }
            List<Dispatcher> fleet = new ArrayList<>();
            for (int i = 0; i < dispatchers; i++) {
                fleet.add(new Dispatcher(seed * 1000L + i));
            }
            double rate = load * workers * SLOTS / runMs;       // tasks a millisecond
            double back = from + 40 * runMs;
            double rises = back + burstAfterMs;
            double end = rises + 2 * FALL_MS;
            for (double at = from; at < end;) {
                at += -Math.log(1 - random.nextDouble()) / (rate * (at > rises ? burst : 1));
                Dispatcher to = fleet.get(random.nextDouble() < most ? 0 : random.nextInt(dispatchers));
                events.add(new Event(at, order++, to::task));
            }
            events.add(new Event(back, order++, () -> {
                List<Machine> told = new ArrayList<>();
                for (int i = 0; i < cold; i++) {
                    machines.set(i, new Machine(i + 1, now));
                    told.add(machines.get(i));
                }
                for (Dispatcher d : fleet) {
                    d.list(EndpointListKind.CHANGES, told);
                }
            }));
            while (!events.isEmpty() && events.peek().at < end) {
                Event e = events.poll();
                now = Math.max(now, e.at);
                e.what.run();
            }
            for (Machine m : machines.subList(0, cold)) {
                worst = Math.max(worst, m.worst);
                toCold += m.sent.size();
            }
            all += fleet.stream().mapToLong(d -> d.tasks).sum();
        }
        System.out.println(dispatchers + " dispatchers, " + cold + " of " + workers
                + " workers cold, runs of " + runMs + " ms, load " + load + " then "
                + burst + " times, most " + most + ": worst " + worst + ", last window " + toCold + " of "
                + all);
        return worst;
    }

    /**
     * A third of the fleet comes back cold, all at once, as a burst of half as much again begins. Most: the
     * part of the traffic that one has.
     */
    @ParameterizedTest
    @CsvSource({"3, 12, 0.7, 0", "20, 12, 0.6, 0", "30, 12, 0.7, 0.7", "120, 30, 0.8, 0"})
    void noColdWorkerIsSentMoreThanItsPartByAllTogether(int dispatchers, int workers, double load,
            double most) {
        double worst = worst(dispatchers, workers, workers / 3, most, load, 1.5, 0);
        assertTrue(worst <= 1, "a cold worker was sent " + worst + " times what it may be");
    }

    /**
     * Little traffic, so that all save up what they may send to the one cold worker; then more than the fleet
     * can do.
     */
    @ParameterizedTest
    @CsvSource({"120, 50, 3000", "120, 400, 6000", "30, 400, 6000"})
    void whatAllHaveSavedUpDoesNotRushTheOneThatIsCold(int dispatchers, double run, double calmMs) {
        runMs = run;
        double worst = worst(dispatchers, 12, 1, 0, 0.2, 6, calmMs);
        assertTrue(worst <= 1, "it was sent " + worst + " times what it may be");
    }
}
