package rampshift.leases.host;

import java.nio.file.Path;
import java.util.List;
import rampshift.leases.LeaseTimings;

/**
 * The section {@code [leases]} of the operator's file.
 *
 * @param initialAcceptors names of the first acceptors
 * @param leases names of the leases
 * @param timings times of the leases
 * @param directory where this dispatcher's acceptor stores its registers; null where it has none
 * @param eventLog where events are written; null for nowhere
 */
public record LeaseSettings(List<String> initialAcceptors, List<String> leases, LeaseTimings timings,
        Path directory, Path eventLog) {}
