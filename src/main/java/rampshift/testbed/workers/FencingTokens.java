package rampshift.testbed.workers;

import java.util.HashMap;
import java.util.Map;

/**
 * The highest fencing token that workers have received under each lease. All workers of a fleet share one,
 * as if the effects of their tasks went to one store.
 */
final class FencingTokens {
    private final boolean checked;
    private final Map<String, Long> highest = new HashMap<>();

    /**
     * Starts without any token.
     *
     * @param checked whether tokens are compared; false for a store that accepts every effect
     */
    FencingTokens(boolean checked) {
        this.checked = checked;
    }

    /** Records a token; returns false if the effect must be refused since a higher one was received. */
    boolean accept(LeaseToken token) {
        long highestSeen = highest.merge(token.lease(), token.number(), Math::max);
        return !checked || token.number() >= highestSeen;
    }
}
