package rampshift.testbed.workers;

import java.util.HashMap;
import java.util.Map;

/**
 * The highest fencing token that workers have received for each lease. All workers of a fleet share one
 * instance, as if the effects of their tasks were written to one store.
 */
final class FencingTokens {
    private final boolean checked;
    private final Map<String, Long> highest = new HashMap<>();

    /**
     * Creates an instance without tokens.
     *
     * @param checked whether lower tokens are refused; false for a store that accepts every effect
     */
    FencingTokens(boolean checked) {
        this.checked = checked;
    }

    /** Records a token; returns false if tokens are checked and a higher one was received before. */
    boolean accept(LeaseToken token) {
        long highestSeen = highest.merge(token.lease(), token.number(), Math::max);
        return !checked || token.number() >= highestSeen;
    }
}
