package rampshift.testbed.plan;

import java.util.List;
import rampshift.toml.TomlTable;

/** Reads which site a table of a fleet file is limited to. */
final class SiteNames {
    private SiteNames() {}

    /** The name of the site; empty where the table names none. A site that is not there is a fault. */
    static String read(TomlTable table, List<FleetPlan.Site> sites) {
        String name = table.text("site", "");
        if (!name.isEmpty() && sites.stream().noneMatch(site -> site.name().equals(name))) {
            table.fault("site", "is \"" + name + "\", which no [[site]] is named");
        }
        return name;
    }
}
