package rampshift.membership;

import java.util.List;
import java.util.Map;

/**
 * The options of a member.
 *
 * @param fleet            the name of the fleet; messages of other fleets are rejected
 * @param self             the identity of this member
 * @param seeds            addresses to which sync requests are sent until one of them answers
 * @param addressOverrides addresses of individual members, by name, used in place of those they advertise
 * @param timings          the intervals and timeouts of the protocol
 * @param seed             the seed of the random draws
 */
public record MembershipOptions(String fleet, MemberIdentity self, List<String> seeds,
        Map<String, String> addressOverrides, MembershipTimings timings, long seed) {
}
