package rampshift.membership;

import java.util.HashMap;
import java.util.Map;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Detects another running process with the name of this one. Two such processes overrule each other's
 * incarnations. A process that has stopped can't overrule an incarnation that it never received, so one that
 * overrules this process several times must be running.
 */
final class NameConflictDetector {
    /** The number of times that another process must overrule this one to count as running. */
    private static final int MIN_OVERRULINGS = 3;
    /** The conflict ends after this number of reconnect intervals without a message of the other process. */
    private static final double EXPIRY_INTERVALS = 10;
    private static final int MAX_TRACKED_PROCESSES = 8;

    private final MembershipContext context;
    private final Map<Long, Integer> overrulingsByProcess = new HashMap<>();
    private Moment lastSeenAt;

    NameConflictDetector(MembershipContext context) {
        this.context = context;
    }

    /** Returns whether another process was recently seen under the name of this one. */
    boolean isInConflict() {
        Span expiry = context.timings().reconnectInterval().times(EXPIRY_INTERVALS);
        return lastSeenAt != null && !context.now().since(lastSeenAt).longerThan(expiry);
    }

    /**
     * Returns whether this process must not answer the other one yet, since the last answer is less than a
     * reconnect interval old: the two processes would flood the network with their answers.
     */
    boolean isAnswerSuppressed() {
        return isInConflict()
                && context.timings().reconnectInterval().longerThan(context.now().since(lastSeenAt));
    }

    /** Records that another process with this name overruled the incarnation of this one. */
    void onOverruled(MemberIdentity other) {
        boolean wasInConflict = isInConflict();
        if (overrulingsByProcess.merge(other.processId(), 1, Integer::sum) >= MIN_OVERRULINGS) {
            lastSeenAt = context.now();
            if (!wasInConflict) {
                context.output().onEvent(new MembershipEvent(MembershipEvent.Kind.NAME_CONFLICT,
                        context.self().name(), other.incarnation(), "another process at " + other.address()));
            }
        }
        if (overrulingsByProcess.size() > MAX_TRACKED_PROCESSES) {
            overrulingsByProcess.clear();
        }
    }
}
