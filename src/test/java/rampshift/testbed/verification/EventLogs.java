package rampshift.testbed.verification;

/** Feeds event logs that are written as text to a checker, and summarizes its verdict. */
final class EventLogs {
    private static final long MICROS_PER_MILLI = 1_000;

    private EventLogs() {}

    /** Feeds the lines of a log, separated by {@code |}, each with its time in milliseconds. */
    static void feed(String log, RuleChecker checker) {
        for (String line : log.split("\\|")) {
            String[] parts = line.trim().split(" ", 2);
            checker.line(Long.parseLong(parts[0]) * MICROS_PER_MILLI + " " + parts[1]);
        }
    }

    /** Returns the names of the broken rules, each with its number of breaches. */
    static String breaches(Verdict verdict) {
        return String.join(", ", verdict.rules().stream().filter(rule -> rule.breaches() > 0)
                .map(rule -> rule.name() + " " + rule.breaches()).toList());
    }
}
