package rampshift.testbed.verification;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What dispatchers believed of one another, held against what befell them: from their ledgers, the processes
 * that were
 * killed, stopped and ended, and the troubles of the ways between them. Times are in microseconds of Unix
 * time.
 */
final class MembershipChecker {
    private static final Set<String> THERE = Set.of("joined", "changed", "cleared");

    private final long knownBy;
    private final long agreeBy;
    // killed, ended or stopped: from, to
    private final Map<String, List<long[]>> away = new HashMap<>();
    private final Map<String, List<long[]>> killed = new HashMap<>();
    // it may be late, and be taken for failed
    private final Map<String, List<long[]>> starved = new HashMap<>();
    private final List<long[]> ways = new ArrayList<>();
    private final Map<String, long[]> openAway = new HashMap<>();
    private final Map<String, long[]> openWays = new HashMap<>();
    private final List<Saw> saw = new ArrayList<>();
    private final Set<String> names = new java.util.TreeSet<>();
    private long finish = Long.MAX_VALUE;
    /** From each failure to each survivor's word of it, in milliseconds. */
    final List<Double> knownMs = new ArrayList<>();

    private record Saw(long at, String by, String what, String of) {}

    MembershipChecker(long knownBy, long agreeBy) {
        this.knownBy = knownBy;
        this.agreeBy = agreeBy;
    }

    /** A line of any ledger, in the order of their times. */
    void line(long at, String word, String[] fields) {
        switch (word) {
            case "killed", "ended", "stopped" -> {
                String name = "d" + (Integer.parseInt(fields[2]) + 1);
                long[] span = {at, Long.MAX_VALUE};
                if (openAway.putIfAbsent(name, span) == null) {
                    away.computeIfAbsent(name, k -> new ArrayList<>()).add(span);
                }
                if (word.equals("killed")) {
                    killed.computeIfAbsent(name, k -> new ArrayList<>()).add(openAway.get(name));
                }
            }
            case "started", "continued" -> {
                long[] span = openAway.remove("d" + (Integer.parseInt(fields[2]) + 1));
                if (span != null) {
                    span[1] = at;
                }
            }
            case "starved" ->
                starved.computeIfAbsent("d" + (Integer.parseInt(fields[2]) + 1), k -> new ArrayList<>())
                        .add(new long[]{at, Long.MAX_VALUE});
            case "fed" -> {
                List<long[]> spans = starved.getOrDefault("d" + (Integer.parseInt(fields[2]) + 1), List.of());
                if (!spans.isEmpty()) {
                    spans.get(spans.size() - 1)[1] = at;
                }
            }
            case "trouble" -> {
                if (fields[2].startsWith("way_") || fields[2].equals("cut")) {
                    String key = fields[2] + " " + fields[4];
                    if (fields[3].equals("begins")) {
                        long[] span = {at, Long.MAX_VALUE};
                        openWays.put(key, span);
                        ways.add(span);
                    } else if (openWays.containsKey(key)) {
                        openWays.remove(key)[1] = at;
                    }
                }
            }
            case "members" -> {
                names.add(fields[2]);
                saw.add(new Saw(at, fields[2], fields[3], fields[4]));
            }
            case "finish" -> finish = at;
            default -> {
            }
        }
    }

    private static boolean within(List<long[]> spans, long from, long to) {
        return spans != null && spans.stream().anyMatch(s -> s[0] <= to && s[1] >= from);
    }

    /**
     * A process that was killed is known to have failed by all that could know it, within the stated time.
     */
    void known(RuleChecker.Count rule) {
        killed.forEach((name, spans) -> spans.forEach(span -> {
            for (String other : names) {
                long until = span[0] + knownBy;
                if (other.equals(name) || span[1] < until || finish < until
                        || within(away.get(other), span[0] - knownBy, until)
                        || within(starved.get(other), span[0] - knownBy, until)
                        || within(ways, span[0] - knownBy, until)) {
                    continue;
                }
                rule.atStake++;
                Saw told =
                        saw.stream()
                                .filter(s -> s.by.equals(other) && s.of.equals(name)
                                        && s.what.equals("failed")
                                        && s.at >= span[0] && s.at <= until)
                                .findFirst().orElse(null);
                if (told == null) {
                    rule.breach(other + " did not know within " + knownBy / 1000 + " ms that " + name
                            + " was killed");
                } else {
                    knownMs.add((told.at - span[0]) / 1000.0);
                }
            }
        }));
    }

    /** Nobody is taken for failed who answered, as did the ways to it. */
    void accused(RuleChecker.Count rule) {
        for (Saw s : saw) {
            if (!s.what.equals("failed") || s.at > finish) {
                continue;
            }
            rule.atStake++;
            long from = s.at - knownBy;
            // Whoever is starved may be taken for failed; it is to know of its own lateness, and to accuse
            // nobody.
            if (!within(starved.get(s.of), from, s.at) && !within(away.get(s.of), from, s.at)
                    && !within(away.get(s.by), from, s.at) && !within(ways, from, s.at)) {
                rule.breach(s.by + " took " + s.of + " for failed, which nothing had befallen");
            }
        }
    }

    /** Once the last fault is long enough over all who are there take all who are there for that. */
    void agree(RuleChecker.Count rule) {
        long last = 0;
        for (List<long[]> spans : away.values()) {
            for (long[] span : spans) {
                last = Math.max(last, Math.min(span[1], finish));
            }
        }
        for (List<long[]> spans : starved.values()) {
            for (long[] span : spans) {
                last = Math.max(last, Math.min(span[1], finish));
            }
        }
        for (long[] span : ways) {
            last = Math.max(last, Math.min(span[1], finish));
        }
        if (names.isEmpty() || finish == Long.MAX_VALUE || finish - last < agreeBy) {
            return;
        }
        Map<String, Map<String, String>> beliefs = new TreeMap<>();
        for (Saw s : saw) {
            if (s.at > finish) {
                break;
            }
            if (s.what.equals("began")) {
                beliefs.put(s.by, new HashMap<>());
            } else if (!s.of.equals(s.by) && names.contains(s.of)) {
                beliefs.computeIfAbsent(s.by, k -> new HashMap<>()).put(s.of, s.what);
            }
        }
        for (String one : names) {
            for (String other : names) {
                if (one.equals(other) || openAway.containsKey(one) || openAway.containsKey(other)) {
                    continue;
                }
                rule.atStake++;
                String belief = beliefs.getOrDefault(one, Map.of()).getOrDefault(other, "nothing");
                if (!THERE.contains(belief)) {
                    rule.breach(one + " has " + belief + " of " + other + " " + (finish - last) / 1000
                            + " ms after the last fault");
                }
            }
        }
    }
}
