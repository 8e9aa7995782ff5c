package rampshift.membership;

/**
 * Lifeguard's local health: a score that rises when this process seems to be late itself, and stretches its
 * own timeouts, so that it accuses others less.
 */
final class LocalHealth {
    /** The highest score; timeouts are stretched by one more at most. */
    static final int MAX_SCORE = 8;

    private int score;
    private boolean awaitingContact;

    /** 0 if this process is in time. */
    int score() {
        return score;
    }

    /** By how much probe intervals and timeouts are stretched, from 1 on. */
    int multiplier() {
        return score + 1;
    }

    /** Whether no other member has answered since this process last stood still. */
    boolean isAwaitingContact() {
        return awaitingContact;
    }

    /** A probe of this process was answered in time. */
    void onAck() {
        awaitingContact = false;
        score = Math.max(0, score - 1);
    }

    /** A sync of this process was answered. */
    void onSyncResponse() {
        awaitingContact = false;
    }

    /**
     * A probe failed and not all helpers sent their nack: their messages may not get through to this process.
     */
    void onMissingNacks() {
        raise();
    }

    /** Another member suspected this process. */
    void onRefutation() {
        raise();
    }

    /** This process stood still. */
    void onStall() {
        awaitingContact = true;
        raise();
    }

    private void raise() {
        score = Math.min(MAX_SCORE, score + 1);
    }
}
