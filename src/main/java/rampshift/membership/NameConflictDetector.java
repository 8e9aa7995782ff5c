package rampshift.membership;

import java.util.HashMap;
import java.util.Map;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Finds out that another process uses the name of this one. Two such processes overrule each other's
 * incarnations; a process that is gone can't overrule what it never heard of, so one that does so several
 * times must be running.
 */
final class NameConflictDetector {
    /** Times that another process must have overruled this one. */
    private static final int MIN_OVERRULINGS = 3;
    /** Reconnect intervals without a sign of the other process after which the conflict is over. */
    private static final double EXPIRY_INTERVALS = 10;
    private static final int MAX_TRACKED_PROCESSES = 8;

    private final MembershipContext context;
    private final Map<Long, Integer> overrulingsByProcess = new HashMap<>();
    private Moment lastSeenAt;

    NameConflictDetector(MembershipContext context) {
        this.context = context;
    }

    /** Whether another process was seen under the name of this one lately. */
    boolean isInConflict() {
        Span expiry = context.timings().reconnectInterval().times(EXPIRY_INTERVALS);
        return lastSeenAt != null && !context.now().since(lastSeenAt).longerThan(expiry);
    }

    /**
     * Whether the other process was answered so lately that the two would fill the wire with their answers.
     */
    boolean isAnswerSuppressed() {
        return isInConflict()
                && context.timings().reconnectInterval().longerThan(context.now().since(lastSeenAt));
    }

    /** Another process of this name overruled the incarnation of this one. */
    void onOverruled(MemberIdentity other) {
        boolean known = isInConflict();
        if (overrulingsByProcess.merge(other.processId(), 1, Integer::sum) >= MIN_OVERRULINGS) {
            lastSeenAt = context.now();
            if (!known) {
                context.output().onEvent(new MembershipEvent(MembershipEvent.Kind.NAME_CONFLICT,
                        context.self().name(), other.incarnation(), "another process at " + other.address()));
            }
        }
        if (overrulingsByProcess.size() > MAX_TRACKED_PROCESSES) {
            overrulingsByProcess.clear();
        }
    }
}
