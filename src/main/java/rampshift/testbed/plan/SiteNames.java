package rampshift.testbed.plan;

import java.util.List;
import rampshift.toml.TomlTable;

/** Reads the site to which a table of a fleet file is limited. */
final class SiteNames {
    private SiteNames() {}

    /** Returns the name of the site; empty if the table names none. An unknown site is a fault. */
    static String read(TomlTable table, List<FleetPlan.Site> sites) {
        String name = table.text("site", "");
        if (!name.isEmpty() && sites.stream().noneMatch(site -> site.name().equals(name))) {
            table.fault("site", "is \"" + name + "\", but no [[site]] has that name");
        }
        return name;
    }
}
