package rampshift.extensions;

import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import rampshift.jobs.PeriodicJobSettings;
import rampshift.leases.LeaseTimings;
import rampshift.leases.host.LeaseSettings;
import rampshift.time.Span;
import rampshift.toml.TomlTable;

/** Reads the section {@code [leases]} of the operator's file. */
final class LeaseSection {
    private static final Span MIN_TERM = Span.ofMillis(200);
    private static final Span DEFAULT_TERM = Span.ofMillis(10_000);
    private static final Span DEFAULT_BALANCE_INTERVAL = Span.ofMillis(600_000);
    private static final double MAX_DRIFT = 0.3;
    private static final double DEFAULT_DRIFT = 0.01;
    private static final int MAX_ACCEPTORS = 7;

    private LeaseSection() {}

    /** Reads the section. Each periodic job adds a lease with its name to those that the section lists. */
    static LeaseSettings read(TomlTable section, List<PeriodicJobSettings> jobs) {
        List<String> acceptors = names(section, "keepers");
        if (acceptors.size() % 2 == 0 || acceptors.size() > MAX_ACCEPTORS) {
            section.fault("keepers", "names " + acceptors.size()
                    + ", expected 1, 3, 5 or 7, of which a majority must be reachable");
        }
        boolean hasNames = section.has("names") || jobs.isEmpty();
        Set<String> leases = new LinkedHashSet<>(hasNames ? names(section, "names") : List.of());
        jobs.forEach(job -> leases.add(job.name()));
        Span term = section.span("term", DEFAULT_TERM);
        if (MIN_TERM.longerThan(term)) {
            section.fault("term", "is under 200 ms");
        }
        double drift = section.number("drift", 0, MAX_DRIFT, DEFAULT_DRIFT);
        Span balanceInterval = section.span("balance_every", DEFAULT_BALANCE_INTERVAL);
        Path directory = path(section, "directory");
        Path eventLog = path(section, "ledger");
        section.rejectUnknownKeys();
        return new LeaseSettings(acceptors, List.copyOf(leases),
                new LeaseTimings(term, drift, balanceInterval), directory, eventLog);
    }

    private static Path path(TomlTable section, String key) {
        String text = section.text(key, "");
        return text.isEmpty() ? null : Path.of(text);
    }

    private static List<String> names(TomlTable section, String key) {
        List<String> names = section.strings(key, List.of());
        for (String name : names) {
            if (!name.matches("[!-~&&[^,:|#]]{1,40}")) {
                section.fault(key, "holds \"" + name
                        + "\", expected names of 1 to 40 printable ASCII characters, no blanks or ,:|#");
            }
        }
        if (names.isEmpty()) {
            section.fault(key, "is missing or empty");
        } else if (names.stream().distinct().count() < names.size()) {
            section.fault(key, "contains a duplicate name");
        }
        return names;
    }
}
