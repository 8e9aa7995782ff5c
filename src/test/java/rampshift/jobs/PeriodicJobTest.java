package rampshift.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * A duty over changes of whoever holds its lease. Time goes in steps of 10 ms; the register is written after
 * 30.
 */
class PeriodicJobTest {
    private static final int OBJECTS = 40;

    private static PeriodicJobSettings plan(boolean again, int catchUp) {
        return new PeriodicJobSettings("sweep", "t", Span.ofMillis(1000), 0, "",
                IntStream.range(0, OBJECTS).mapToObj(String::valueOf).toList(), 100, catchUp, "/{object}", "",
                again, Span.ofMillis(500));
    }

    /** The register, and whoever holds the lease at the time. */
    private static final class Fleet implements PeriodicJob.Out {
        final PeriodicJobSettings plan;
        final Map<String, Integer> effects = new TreeMap<>();
        final List<String> told = new ArrayList<>();
        final Set<String> unsure = new HashSet<>();
        private final SplittableRandom chance;
        private final List<Runnable> later = new ArrayList<>();
        private final Map<Runnable, Long> at = new HashMap<>();
        String register = "";
        PeriodicJob holder;
        long token;
        long ms = 5000;

        Fleet(long seed, PeriodicJobSettings plan) {
            chance = new SplittableRandom(seed);
            this.plan = plan;
        }

        void takeOver() {
            holder = new PeriodicJob(plan, Span.ofMillis(1000), this);
            token++;
        }

        private void after(long after, Runnable what) {
            later.add(what);
            at.put(what, ms + after);
        }

        void run(long most) {
            for (long end = ms + most; ms < end; ms += 10) {
                for (Runnable one : List.copyOf(later)) {
                    if (at.get(one) <= ms) {
                        later.remove(one);
                        one.run();
                    }
                }
                if (holder != null) {
                    holder.look(new Moment(ms * 1000), ms / 1000, token, register);
                }
            }
        }

        @Override
        public void hand(int object, String id, String txn) {
            PeriodicJob by = holder;
            long under = token;
            long took = chance.nextInt(60);
            int fate = chance.nextInt(10);
            after(took, () -> {
                if (fate > 1) {         // else turned away
                    effects.merge(id, 1, Integer::sum);
                }
                by.ended(new Moment(ms * 1000), under, object,
                        fate > 2 ? PeriodicJob.End.DONE
                                : fate > 1 ? PeriodicJob.End.MAY_HAVE_RUN
                                        : PeriodicJob.End.NEVER_RAN,
                        Span.ofMillis(50));
            });
        }

        @Override
        public void note(String text) {
            PeriodicJob by = holder;
            after(30, () -> register = holder == by ? text : register);
        }

        @Override
        public void tell(String what, long run, int object) {
            told.add(what + " " + run);
            if (what.equals("unsure")) {
                unsure.add("sweep-" + run + "-" + object);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void overChangesOfHolderNothingIsLeftOutAndWhatMustNotIsNotDoneTwice(boolean again) {
        long once = 0;
        long more = 0;
        long never = 0;
        for (long seed = 0; seed < 200; seed++) {
            Fleet f = new Fleet(seed, plan(again, 1));
            for (int change = 0; change < 6; change++) {
                f.takeOver();
                f.run(100 + f.chance.nextInt(700));
                f.holder = null;        // it dies with what it has in hand
                f.run(f.chance.nextInt(300));
            }
            f.takeOver();
            f.run(3000);
            for (String line : f.told) {
                if (!line.startsWith("over ")) {
                    continue;
                }
                for (int object = 0; object < OBJECTS; object++) {
                    String id = "sweep-" + line.split(" ")[1] + "-" + object;
                    int effects = f.effects.getOrDefault(id, 0);
                    once += effects == 1 ? 1 : 0;
                    more += effects > 1 ? 1 : 0;
                    never += effects == 0 ? 1 : 0;
                    assertTrue(effects > 0 || f.unsure.contains(id),
                            "seed " + seed + ": " + id + " was left out, and nobody was told");
                    assertTrue(effects <= 1 || again,
                            "seed " + seed + ": " + id + " took effect " + effects + " times");
                }
            }
        }
        System.out.println((again ? "idempotent" : "others") + ": once " + once + ", more " + more
                + ", never, and told so " + never);
        assertEquals(again, never == 0);
        assertTrue(once > 20_000);
    }

    @Test
    void nothingIsHandedInBeforeTheRegisterSaysThatItMayBe() {
        Fleet f = new Fleet(1, plan(false, 1));
        f.takeOver();
        f.run(20);
        assertTrue(f.effects.isEmpty() && f.register.isEmpty());
        f.run(200);
        assertFalse(f.effects.isEmpty());
    }

    @Test
    void ofRunsThatWereMissedOnlyTheStatedAreMadeUpFor() {
        Fleet f = new Fleet(2, plan(true, 2));
        f.takeOver();
        while (!f.register.startsWith("5:") || !f.register.endsWith("over")) {
            f.run(10);
        }
        f.holder = null;
        f.run(11_900 - f.ms);
        f.told.clear();
        f.takeOver();
        f.run(10);
        assertEquals(List.of("missed 6", "missed 7", "missed 8", "begins 9"), f.told);
    }

    @Test
    void aRunIsDueAtATimeOfItsDayOrAfterAnothers() {
        long hour = 3_600_000_000L;
        PeriodicJobSettings at = new PeriodicJobSettings("a", "t", new Span(24 * hour), 3 * hour, "",
                List.of("0"), 1, 0, "/", "", true,
                Span.ZERO);
        assertEquals(9, at.due(10 * 24 * hour + 2 * hour, JobProgress.NONE));
        assertEquals(10, at.due(10 * 24 * hour + 3 * hour, JobProgress.NONE));
        PeriodicJobSettings after =
                new PeriodicJobSettings("b", "t", new Span(24 * hour), 0, "a", List.of("0"), 1, 0, "/", "",
                        true, Span.ZERO);
        assertEquals(9, after.due(0, new JobProgress(10, 3, 7, false)), "that one is under way");
        assertEquals(10, after.due(0, new JobProgress(10, 7, 7, true)));
    }

    @Test
    void aClockThatGoesBackBeginsNoRunTwice() {
        Fleet f = new Fleet(3, plan(true, 0));
        f.takeOver();
        f.run(990);
        long runs = f.told.stream().filter(t -> t.startsWith("begins")).count();
        f.ms -= 900;
        f.holder.look(new Moment(f.ms * 1000), 2, f.token, f.register);
        assertEquals(runs, f.told.stream().filter(t -> t.startsWith("begins")).count());
    }
}
