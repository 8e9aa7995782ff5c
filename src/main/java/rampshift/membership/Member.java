package rampshift.membership;

import java.util.HashSet;
import java.util.Set;
import rampshift.time.Moment;

/** What is believed of one other member, and since when. */
final class Member {
    MemberUpdate claim;
    Moment since;
    /** Where a suspicion ends, if nobody speaks for it; null where it is not suspected. */
    Moment failsAt;
    Moment suspectedAt;
    /** Others that suspect it too. */
    final Set<String> accusers = new HashSet<>();

    Member(MemberUpdate claim, Moment now) {
        this.claim = claim;
        since = now;
    }

    MemberIdentity card() {
        return claim.card();
    }

    boolean there() {
        return !claim.over();
    }
}
