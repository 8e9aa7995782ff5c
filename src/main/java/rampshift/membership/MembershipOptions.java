package rampshift.membership;

import java.util.List;
import java.util.Map;

/**
 * What a member starts with.
 *
 * @param fleet            the name of the fleet; messages of other fleets are rejected
 * @param self             the identity of this member
 * @param seeds            addresses that are asked for their view until one of them answers
 * @param addressOverrides addresses of single members, by name, in place of those that they advertise
 * @param timings          the times of the protocol
 * @param seed             the seed of the random draws
 */
public record MembershipOptions(String fleet, MemberIdentity self, List<String> seeds,
        Map<String, String> addressOverrides, MembershipTimings timings, long seed) {
}
