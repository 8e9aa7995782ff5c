package rampshift.testbed.verification;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What was done under leases: effects as workers took them, with the token each came under, held against one
 * another
 * and against what the dispatchers say of their leases.
 */
final class LeaseEffectChecker {
    // micros that two processes' stamps of one instant may differ
    private static final long STAMPS = 2000;

    private final Map<String, Long> highest = new HashMap<>();          // token of an effect, by lease
    // token and dispatcher of the last hold, by lease
    private final Map<String, long[]> lastHeld = new HashMap<>();
    private final Map<String, Integer> effects = new TreeMap<>();       // of a duty's task
    private final Map<String, String> effectOf = new HashMap<>();
    private final Set<String> unsure = new HashSet<>();
    private final Set<String> done = new HashSet<>();
    // by register, as their processes knew them
    private final Map<String, List<Change>> changes = new TreeMap<>();
    private long takeovers;
    private long refused;

    /** One change of a register: asked for, known as done, which version, and what it said. */
    private record Change(long asked, long known, long version, String says) {}

    /** A line of any ledger, in the order of their times. */
    void line(long at, String[] f, RuleChecker.Count order, RuleChecker.Count rise) {
        switch (f[1]) {
            case "effect" -> {
                long token = Long.parseLong(f[3]);
                Long before = highest.get(f[2]);
                effects.merge(f[6], 1, Integer::sum);
                effectOf.put(f[6], f[7]);
                if (before != null && token < before) {
                    order.breach("an effect of " + f[6] + " under token " + token + " of " + f[2]
                            + " after one under " + before);
                } else if (before != null && token > before) {
                    takeovers++;
                    order.atStake++;
                }
                highest.merge(f[2], token, Math::max);
            }
            case "refused" -> refused++;
            case "leases" -> {
                if (f[3].equals("done")) {
                    String[] of = f[6].split("/");
                    changes.computeIfAbsent(f[4], k -> new ArrayList<>())
                            .add(new Change(at - Long.parseLong(of[1]), at,
                                    Long.parseLong(of[0]), f[5] + " of " + of[2]));
                } else if (f[3].equals("holds")) {
                    long token = Long.parseLong(f[5]);
                    long by = f[2].hashCode();
                    long[] last = lastHeld.get(f[4]);
                    rise.atStake++;
                    if (last != null && (token < last[0] || (token == last[0] && by != last[1]))) {
                        rise.breach(f[2] + " holds " + f[4] + " with token " + token + " after " + last[0]);
                    }
                    lastHeld.put(f[4], new long[]{token, by});
                } else if (f[3].equals("duty-unsure")) {
                    unsure.add(id(f));
                } else if (f[3].equals("duty-done")) {
                    done.add(id(f));
                }
            }
            default -> {
            }
        }
    }

    private static String id(String[] f) {
        return f[4] + "-" + f[6].replace('/', '-');
    }

    /**
     * The changes of each register are those of one: a version says one thing, and what was known as done
     * before another
     * was asked for comes before it. Versions make the order total, so this is all that there is to be
     * checked.
     */
    void oneRegister(RuleChecker.Count rule) {
        changes.forEach((register, all) -> {
            Map<Long, String> says = new HashMap<>();
            for (Change c : all) {
                String before = says.putIfAbsent(c.version, c.says);
                if (before != null && !before.equals(c.says)) {
                    rule.breach(register + " has two values of version " + c.version + ": " + before + " and "
                            + c.says);
                }
            }
            List<Change> byAsked = new ArrayList<>(all);
            byAsked.sort(Comparator.comparingLong(Change::asked));
            List<Change> byKnown = new ArrayList<>(all);
            byKnown.sort(Comparator.comparingLong(Change::known));
            long highest = 0;
            int known = 0;
            for (Change c : byAsked) {
                for (; byKnown.get(known).known + STAMPS < c.asked; known++) {
                    highest = Math.max(highest, byKnown.get(known).version);
                }
                rule.atStake++;
                if (c.version < highest) {
                    rule.breach(register + ": version " + c.version + " was asked for after " + highest
                            + " was known");
                }
            }
        });
    }

    /** A task whose effect must not come twice has one at the most; one that is told as done has one. */
    void once(RuleChecker.Count rule) {
        effects.forEach((task, count) -> {
            if (!effectOf.get(task).equals("idempotent")) {
                rule.atStake++;
                if (count > 1) {
                    rule.breach(task + " took effect " + count + " times");
                }
            }
        });
        for (String task : done) {
            rule.atStake++;
            if (!effects.containsKey(task)) {
                rule.breach(task + " was told as done, and no worker took it");
            }
        }
    }

    Verdict.Acts figures() {
        long once = effects.values().stream().filter(c -> c == 1).count();
        return new Verdict.Acts(takeovers, refused, once, effects.size() - once,
                unsure.stream().filter(u -> !effects.containsKey(u)).count());
    }
}
