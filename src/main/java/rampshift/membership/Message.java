package rampshift.membership;

import java.util.List;

/**
 * One datagram, or one direction of an anti-entropy sync.
 *
 * @param from         the name of the sender
 * @param to           the name of the receiver, so that a member that took over the address of another one
 *                     does not answer for it; empty if the sender knows only an address
 * @param body         the request or answer
 * @param updates      statements about members
 * @param drainNotices notices about workers
 */
record Message(String from, String to, MessageBody body, List<MemberUpdate> updates,
        List<DrainNotice> drainNotices) {
}
