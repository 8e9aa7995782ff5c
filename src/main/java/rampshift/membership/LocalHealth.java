package rampshift.membership;

/**
 * Lifeguard's local health: a score that increases when this process itself seems to be slow, and lengthens
 * its probe intervals and timeouts, so that it suspects fewer members wrongly.
 */
final class LocalHealth {
    /** The highest score. Intervals and timeouts are multiplied by the score plus 1. */
    static final int MAX_SCORE = 8;

    private int score;
    private boolean awaitingContact;

    /** Returns the score; 0 if this process responds in time. */
    int score() {
        return score;
    }

    /** Returns the factor, at least 1, by which probe intervals and timeouts are multiplied. */
    int multiplier() {
        return score + 1;
    }

    /** Returns whether this process has stalled and no other member has answered since. */
    boolean isAwaitingContact() {
        return awaitingContact;
    }

    /** Records that a probe of this process was answered in time. */
    void onAck() {
        awaitingContact = false;
        score = Math.max(0, score - 1);
    }

    /** Records that a sync request of this process was answered. */
    void onSyncResponse() {
        awaitingContact = false;
    }

    /**
     * Records that a probe failed and not all helpers sent a nack: messages may not reach this process.
     */
    void onMissingNacks() {
        increaseScore();
    }

    /** Records that this process had to refute a suspicion or failure. */
    void onRefutation() {
        increaseScore();
    }

    /** Records that this process stalled. */
    void onStall() {
        awaitingContact = true;
        increaseScore();
    }

    private void increaseScore() {
        score = Math.min(MAX_SCORE, score + 1);
    }
}
