package rampshift.membership;

/** Something that a member has learnt of the fleet; the words are those of its ledger. */
public record Event(Kind kind, String name, long incarnation, String detail) {
    /** Joined: new, or there again. Changed: it says something else of itself. */
    public enum Kind {
        JOINED, CHANGED, SUSPECTED, CLEARED, FAILED, ENDED, FORGOTTEN, REFUTED, STALLED, TWIN, STANDING
    }
}
