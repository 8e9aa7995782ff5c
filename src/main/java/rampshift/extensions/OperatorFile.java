package rampshift.extensions;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import rampshift.jobs.PeriodicJobSettings;
import rampshift.leases.LeaseTimings;
import rampshift.leases.host.LeaseSettings;
import rampshift.membership.MembershipTimings;
import rampshift.membership.host.MembershipSettings;
import rampshift.settings.Configuration;
import rampshift.settings.InvalidInputException;
import rampshift.time.Span;
import rampshift.toml.TomlFile;
import rampshift.toml.TomlTable;

/** The operator's file. A section that is not there is off. */
public record OperatorFile(MembershipSettings members, LeaseSettings leases,
        List<PeriodicJobSettings> duties) {

    private static final Span LEAST_PERIOD = Span.ofMillis(20);
    private static final Span LEAST_TERM = Span.ofMillis(200);
    private static final int MOST_KEEPERS = 7;

    public static OperatorFile read(Path file) {
        return read(file.toString(), TomlFile.text(file));
    }

    /** Throws a Fault with all that is wrong with the text. */
    public static OperatorFile read(String name, String text) {
        TomlFile file = TomlFile.read(name, text);
        TomlTable top = file.top();
        MembershipSettings members = top.has("members") ? members(top.table("members")) : null;
        List<PeriodicJobSettings> duties = new ArrayList<>();
        for (TomlTable one : top.tables("duty")) {
            duties.add(duty(one));
        }
        for (PeriodicJobSettings one : duties) {
            if (!one.after().isEmpty()
                    && duties.stream().noneMatch(d -> d.name().equals(one.after()) && d != one)) {
                top.fault("duty", "after = \"" + one.after() + "\" names no other duty");
            }
        }
        LeaseSettings leases =
                top.has("leases") ? leases(top.table("leases"), duties) : null;
        if (leases == null && !duties.isEmpty()) {
            top.fault("duty", "needs [leases]: a duty is done by whoever holds the lease of its name");
        }
        if (leases != null && members == null) {
            top.fault("leases", "needs [members], over whose address its messages go");
        }
        top.rejectUnknownKeys();
        file.throwIfFaulty();
        return new OperatorFile(members, leases, duties);
    }

    private static LeaseSettings leases(TomlTable s, List<PeriodicJobSettings> duties) {
        List<String> keepers = names(s, "keepers");
        if (keepers.size() % 2 == 0 || keepers.size() > MOST_KEEPERS) {
            s.fault("keepers", "names " + keepers.size()
                    + ", expected 1, 3, 5 or 7: a majority of them has to be there");
        }
        Set<String> leases =
                new LinkedHashSet<>(s.has("names") || duties.isEmpty() ? names(s, "names") : List.of());
        duties.forEach(d -> leases.add(d.name()));
        Span term = s.span("term", Span.ofMillis(10_000));
        if (LEAST_TERM.longerThan(term)) {
            s.fault("term", "is under 200 ms");
        }
        double drift = s.number("drift", 0, 0.3, 0.01);
        Span balance = s.span("balance_every", Span.ofMillis(600_000));
        String directory = s.text("directory", "");
        String ledger = s.text("ledger", "");
        s.rejectUnknownKeys();
        return new LeaseSettings(keepers, List.copyOf(leases),
                new LeaseTimings(term, drift, balance),
                directory.isEmpty() ? null : Path.of(directory), ledger.isEmpty() ? null : Path.of(ledger));
    }

    private static PeriodicJobSettings duty(TomlTable s) {
        String name = s.name("name");
        String type = s.name("type");
        Span every = s.span("every", Span.ofMillis(86_400_000));
        if (Span.ofMillis(1000).longerThan(every)) {
            s.fault("every", "is under a second");
        }
        String time = s.text("at", "00:00");
        if (!time.matches("([01]\\d|2[0-3]):[0-5]\\d")) {
            s.fault("at", "is \"" + time + "\", expected a time of the day in UTC, such as \"03:30\"");
        }
        long at = time.matches("\\d\\d:\\d\\d")
                ? (Long.parseLong(time.substring(0, 2)) * 60 + Long.parseLong(time.substring(3)))
                        * 60_000_000L
                : 0;
        String after = s.text("after", "");
        List<String> objects = objects(s);
        double rate = s.number("rate", 0.001, 10_000, 10);
        int catchUp = s.integer("catch_up", 0, 1000, 1);
        String target = s.text("target", "/{object}");
        if (!target.matches("/[!-~]*")) {
            s.fault("target", "is \"" + target + "\", expected a path that begins with a slash");
        }
        PeriodicJobSettings plan = new PeriodicJobSettings(name, type, every, at, after, objects, rate,
                catchUp, target, s.text("body", ""),
                false, Span.ZERO);
        s.rejectUnknownKeys();
        return plan;
    }

    /** A range, or the lines of a file: it has to be the same on all machines. */
    private static List<String> objects(TomlTable s) {
        String file = s.text("objects_from", "");
        if (file.isEmpty()) {
            return IntStream.range(0, s.integer("objects", 1, 10_000_000, 1)).mapToObj(String::valueOf)
                    .toList();
        }
        if (s.has("objects")) {
            s.fault("objects", "stands beside objects_from: one of the two");
        }
        try {
            List<String> lines =
                    Files.readAllLines(Path.of(file)).stream().filter(l -> !l.isBlank()).toList();
            for (String line : lines) {
                if (!line.matches("[!-~]{1,500}")) {
                    s.fault("objects_from", "names " + file + ", which holds \"" + line
                            + "\", expected lines without blanks");
                    break;
                }
            }
            if (lines.isEmpty()) {
                s.fault("objects_from", "names " + file + ", which is empty");
            }
            return lines;
        } catch (IOException e) {
            s.fault("objects_from", "names " + file + ", which can't be read");
            return List.of();
        }
    }

    private static List<String> names(TomlTable s, String key) {
        List<String> all = s.strings(key, List.of());
        for (String one : all) {
            if (!one.matches("[!-~&&[^,:|#]]{1,40}")) {
                s.fault(key, "holds \"" + one
                        + "\", expected names of 1 to 40 letters without blanks, commas, colons, bars");
            }
        }
        if (all.isEmpty() || all.stream().distinct().count() < all.size()) {
            s.fault(key, all.isEmpty() ? "is missing or empty" : "names one twice");
        }
        return all;
    }

    private static MembershipSettings members(TomlTable s) {
        InetSocketAddress listen = address(s, "listen", s.text("listen", null));
        if (listen != null && (listen.getAddress().isAnyLocalAddress() || listen.getPort() == 0)) {
            s.fault("listen", "is a wildcard, expected the address where the others reach this dispatcher");
        }
        String fleet = s.name("fleet");
        String site = s.has("site") ? s.name("site") : "-";
        Span period = s.span("period", Span.ofMillis(1000));
        if (LEAST_PERIOD.longerThan(period)) {
            s.fault("period", "is under 20 ms");
        }
        Span forget = s.span("forget", Span.ofMillis(86_400_000));
        Span newsFor = s.span("news_for", Span.ofMillis(30_000));
        List<String> seeds = new ArrayList<>();
        for (String seed : s.strings("seeds", List.of())) {
            if (address(s, "seeds", seed) != null) {
                seeds.add(seed);
            }
        }
        Map<String, String> reach = new LinkedHashMap<>();
        for (TomlTable one : s.tables("reach")) {
            String name = one.name("name");
            String at = one.text("address", null);
            if (address(one, "address", at) != null) {
                reach.put(name, at);
            }
            one.rejectUnknownKeys();
        }
        String ledger = s.text("ledger", null);
        boolean news = s.flag("news", true);
        s.rejectUnknownKeys();
        return new MembershipSettings(fleet, site, listen, seeds, reach,
                new MembershipTimings(period, forget), news, newsFor,
                ledger == null ? null : Path.of(ledger));
    }

    private static InetSocketAddress address(TomlTable s, String key, String text) {
        try {
            return Configuration.address(key, text);
        } catch (InvalidInputException e) {
            s.fault(key, text == null ? "is missing, expected an address with a port"
                    : "is \"" + text
                            + "\", expected an address with a port");
            return null;
        }
    }
}
