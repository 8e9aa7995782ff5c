package rampshift.leases.host;

import java.nio.file.Path;
import java.util.List;
import rampshift.leases.LeaseTimings;

/**
 * The section {@code [leases]} of the operator's file. Keepers: the first ones, by name. Names: the leases.
 * Directory:
 * where this dispatcher keeps registers; null where it is to keep none. Ledger: where events are written
 * down; null for
 * nowhere.
 */
public record LeaseSettings(List<String> keepers, List<String> names, LeaseTimings rules, Path directory,
        Path ledger) {}
