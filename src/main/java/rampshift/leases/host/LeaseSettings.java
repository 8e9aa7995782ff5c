package rampshift.leases.host;

import java.nio.file.Path;
import java.util.List;
import rampshift.leases.LeaseTimings;

/**
 * The section {@code [leases]} of the operator's file.
 *
 * @param initialAcceptors names of the first acceptors
 * @param leases names of the leases
 * @param timings durations of the lease protocol
 * @param directory directory of this dispatcher's acceptor; null if it has no acceptor
 * @param eventLog file to which events are written; null for none
 */
public record LeaseSettings(List<String> initialAcceptors, List<String> leases, LeaseTimings timings,
        Path directory, Path eventLog) {}
