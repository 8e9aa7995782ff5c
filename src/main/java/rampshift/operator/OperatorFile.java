package rampshift.operator;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import rampshift.members.Rules;
import rampshift.members.host.Setting;
import rampshift.settings.Configuration;
import rampshift.settings.Malformed;
import rampshift.time.Span;
import rampshift.toml.Section;
import rampshift.toml.Toml;

/** The operator's file. A section that is not there is off. */
public record OperatorFile(Setting members) {
    private static final Span LEAST_PERIOD = Span.ofMillis(20);

    public static OperatorFile read(Path file) {
        return read(file.toString(), Toml.text(file));
    }

    /** Throws a Fault with all that is wrong with the text. */
    public static OperatorFile read(String name, String text) {
        Toml file = Toml.read(name, text);
        Section top = file.top();
        Setting members = top.has("members") ? members(top.section("members")) : null;
        top.end();
        file.sound();
        return new OperatorFile(members);
    }

    private static Setting members(Section s) {
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
        for (String seed : s.texts("seeds", List.of())) {
            if (address(s, "seeds", seed) != null) {
                seeds.add(seed);
            }
        }
        Map<String, String> reach = new LinkedHashMap<>();
        for (Section one : s.sections("reach")) {
            String name = one.name("name");
            String at = one.text("address", null);
            if (address(one, "address", at) != null) {
                reach.put(name, at);
            }
            one.end();
        }
        String ledger = s.text("ledger", null);
        boolean news = s.flag("news", true);
        s.end();
        return new Setting(fleet, site, listen, seeds, reach, new Rules(period, forget), news, newsFor,
                ledger == null ? null : Path.of(ledger));
    }

    private static InetSocketAddress address(Section s, String key, String text) {
        try {
            return Configuration.address(key, text);
        } catch (Malformed e) {
            s.fault(key, text == null ? "is missing, expected an address with a port" : "is \"" + text
                    + "\", expected an address with a port");
            return null;
        }
    }
}
