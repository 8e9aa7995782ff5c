package rampshift.testbed.workers;

import java.util.HashMap;
import java.util.Map;

/**
 * What takes effects under leases, for all workers together: no effect under a lower token than it has seen.
 */
final class FencingTokens {
    private final boolean checked;
    private final Map<String, Long> highest = new HashMap<>();

    /** Checked: false for a taker that can't tell tokens, which takes all. */
    FencingTokens(boolean checked) {
        this.checked = checked;
    }

    /** Whether an effect is taken. */
    boolean take(String lease, long token) {
        long seen = highest.merge(lease, token, Math::max);
        return !checked || token >= seen;
    }
}
