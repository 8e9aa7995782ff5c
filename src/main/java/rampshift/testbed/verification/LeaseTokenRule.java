package rampshift.testbed.verification;

import java.util.HashMap;
import java.util.Map;
import rampshift.testbed.verification.LeaseEvent.LeaseHeld;

/** The rule that the fencing token of a lease increases with each new holder. */
final class LeaseTokenRule implements LogEventListener {
    private final RuleTally tally = new RuleTally("tokens only rise");
    private final Map<String, LeaseHeld> lastHoldOfLease = new HashMap<>();

    Verdict.Rule result() {
        return tally.result();
    }

    @Override
    public void onLeaseHeld(LeaseHeld event) {
        tally.countCase();
        LeaseHeld last = lastHoldOfLease.put(event.lease(), event);
        if (last != null && !mayFollow(event, last)) {
            tally.countBreach(event.dispatcher() + " holds " + event.lease() + " with token " + event.token()
                    + " after " + last.token());
        }
    }

    private static boolean mayFollow(LeaseHeld hold, LeaseHeld last) {
        return hold.token() > last.token()
                || (hold.token() == last.token() && hold.dispatcher().equals(last.dispatcher()));
    }
}
