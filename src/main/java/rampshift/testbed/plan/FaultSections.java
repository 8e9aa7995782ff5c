package rampshift.testbed.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import rampshift.time.Span;
import rampshift.toml.TomlTable;

/** Reads the tables of a fleet file that define the faults to inject. */
final class FaultSections {
    /**
     * Two dispatchers ({@code *} for any), separated by {@code >} for one direction or {@code =} for both.
     */
    private static final Pattern LINK = Pattern.compile("(d\\d+|\\*)[>=](d\\d+|\\*)");

    private FaultSections() {}

    static List<FleetPlan.Fault> faults(TomlTable top, List<FleetPlan.Site> sites) {
        List<FleetPlan.Fault> faults = new ArrayList<>();
        for (TomlTable table : top.tables("trouble")) {
            if (!table.has("what")) {
                table.fault("what", "is missing, expected a kind of trouble");
            }
            FleetPlan.Fault fault = new FleetPlan.Fault(
                    table.oneOf("what", FleetPlan.Fault.Kind.class, FleetPlan.Fault.Kind.SLOW),
                    table.span("at", Span.ZERO),
                    table.span("length", Span.ofMillis(5000)),
                    table.number("share", 0, 1, 0),
                    SiteNames.read(table, sites),
                    table.strings("names", List.of()),
                    table.number("factor", 1, 1000, 4),
                    table.number("rate", 0, 1, 0.5),
                    table.span("delay", Span.ofMillis(1000)));
            checkTargets(table, fault);
            table.rejectUnknownKeys();
            faults.add(fault);
        }
        return faults;
    }

    private static void checkTargets(TomlTable table, FleetPlan.Fault fault) {
        if (fault.what() == FleetPlan.Fault.Kind.CUT && fault.site().isEmpty()) {
            table.fault("site", "is missing; a cut needs one site");
        }
        if (!fault.affectsLinks()) {
            return;
        }
        for (String link : fault.names()) {
            if (!LINK.matcher(link).matches()) {
                table.fault("names", "holds \"" + link
                        + "\", expected a pair such as \"d1>d2\", \"d1=d2\" or \"d1=*\"");
            }
        }
        if (fault.names().isEmpty() && fault.site().isEmpty()) {
            table.fault("names", "is missing, expected pairs such as \"d1>d2\", or a site");
        }
    }
}
