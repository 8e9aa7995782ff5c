package rampshift.membership.host;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import rampshift.membership.MembershipTimings;
import rampshift.time.Span;

/**
 * The section {@code [members]} of the operator's file.
 *
 * @param fleet               the name of the fleet
 * @param site                where this dispatcher runs
 * @param listen              the address, UDP and TCP, where the other members reach this one
 * @param seeds               addresses of members to which sync requests are sent at the start
 * @param addressOverrides    addresses of individual members, by name, as they are reached from here
 * @param timings             the intervals and timeouts of the protocol
 * @param acceptDrainNotices  whether drain notices of other members override the own endpoint list
 * @param drainNoticeLifetime how long a notice overrides an endpoint list that is updated but remains older
 *                            than it
 * @param eventLogFile        the file that events are written to, or null for none
 */
public record MembershipSettings(String fleet, String site, InetSocketAddress listen, List<String> seeds,
        Map<String, String> addressOverrides, MembershipTimings timings, boolean acceptDrainNotices,
        Span drainNoticeLifetime, Path eventLogFile) {
}
