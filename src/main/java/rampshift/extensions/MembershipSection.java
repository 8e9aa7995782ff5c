package rampshift.extensions;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rampshift.membership.MembershipTimings;
import rampshift.membership.host.MembershipSettings;
import rampshift.settings.Configuration;
import rampshift.settings.InvalidInputException;
import rampshift.time.Span;
import rampshift.toml.TomlTable;

/** Reads the section {@code [members]} of the operator's file. */
final class MembershipSection {
    private static final Span MIN_PERIOD = Span.ofMillis(20);
    private static final Span DEFAULT_PERIOD = Span.ofMillis(1000);
    private static final Span DEFAULT_FORGET_AFTER = Span.ofMillis(86_400_000);
    private static final Span DEFAULT_DRAIN_NOTICE_LIFETIME = Span.ofMillis(30_000);

    private MembershipSection() {}

    static MembershipSettings read(TomlTable section) {
        InetSocketAddress listen = address(section, "listen", section.text("listen", null));
        if (listen != null && (listen.getAddress().isAnyLocalAddress() || listen.getPort() == 0)) {
            section.fault("listen",
                    "is a wildcard, expected the address used by other members");
        }
        String fleet = section.name("fleet");
        String site = section.has("site") ? section.name("site") : "-";
        Span period = section.span("period", DEFAULT_PERIOD);
        if (MIN_PERIOD.longerThan(period)) {
            section.fault("period", "is under 20 ms");
        }
        Span forgetAfter = section.span("forget", DEFAULT_FORGET_AFTER);
        Span drainNoticeLifetime = section.span("news_for", DEFAULT_DRAIN_NOTICE_LIFETIME);
        List<String> seeds = seeds(section);
        Map<String, String> addressOverrides = addressOverrides(section);
        String eventLogFile = section.text("ledger", null);
        boolean acceptDrainNotices = section.flag("news", true);
        section.rejectUnknownKeys();
        return new MembershipSettings(fleet, site, listen, seeds, addressOverrides,
                new MembershipTimings(period, forgetAfter), acceptDrainNotices, drainNoticeLifetime,
                eventLogFile == null ? null : Path.of(eventLogFile));
    }

    private static List<String> seeds(TomlTable section) {
        List<String> seeds = new ArrayList<>();
        for (String seed : section.strings("seeds", List.of())) {
            if (address(section, "seeds", seed) != null) {
                seeds.add(seed);
            }
        }
        return seeds;
    }

    private static Map<String, String> addressOverrides(TomlTable section) {
        Map<String, String> addresses = new LinkedHashMap<>();
        for (TomlTable table : section.tables("reach")) {
            String name = table.name("name");
            String text = table.text("address", null);
            if (address(table, "address", text) != null) {
                addresses.put(name, text);
            }
            table.rejectUnknownKeys();
        }
        return addresses;
    }

    private static InetSocketAddress address(TomlTable table, String key, String text) {
        try {
            return Configuration.address(key, text);
        } catch (InvalidInputException e) {
            String found = text == null ? "is missing" : "is \"" + text + "\"";
            table.fault(key, found + ", expected an address with a port");
            return null;
        }
    }
}
