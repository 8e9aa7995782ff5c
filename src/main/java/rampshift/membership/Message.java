package rampshift.membership;

import java.util.List;

/**
 * One datagram, or one side of a whole exchange. Number: which question it belongs to. From: who sends it.
 * To: for
 * whom it is meant; one that has another's address by now does not answer for it. About: of whom a question
 * by way of
 * another asks.
 */
record Message(Kind kind, long number, String from, String to, String about, List<MemberUpdate> claims,
        List<DrainNotice> news) {
    enum Kind { PING, ACK, ASK_FOR, NO_ACK, TELL, WHOLE, WHOLE_BACK }
}
