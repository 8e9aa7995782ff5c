package rampshift.membership;

/**
 * What is said of one member. By: who said so first. Age: how long a failed or ended one has been so, in
 * milliseconds; 0 for the others.
 */
public record MemberUpdate(MemberIdentity card, Belief belief, String by, long ageMs) {
    /** In the order in which they overrule one another at the same incarnation. */
    public enum Belief {
        ALIVE, SUSPECT, FAILED, ENDED
    }

    /**
     * Whether it is to be believed over the other: a higher incarnation, else the graver word, else the
     * higher life.
     */
    boolean over(MemberUpdate other) {
        if (card.incarnation() != other.card.incarnation()) {
            return card.incarnation() > other.card.incarnation();
        }
        if (card.life() != other.card.life()) {
            return card.life() > other.card.life();
        }
        return belief.compareTo(other.belief) > 0;
    }

    boolean over() {
        return belief == Belief.FAILED || belief == Belief.ENDED;
    }
}
