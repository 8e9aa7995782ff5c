package rampshift.testbed.verification;

import java.util.HashMap;
import java.util.Map;
import rampshift.testbed.verification.FaultEvent.FaultChanged;
import rampshift.testbed.verification.RequestEvent.AttemptReceived;

/** Measures how long after the drain of a worker attempts still reach it, whoever sends them. */
final class DrainedWorkerAttempts implements LogEventListener {
    private static final String TARGET_SEPARATOR = ",";
    private static final double MICROS_PER_MILLI = 1_000;

    private final Map<String, Long> drainedAt = new HashMap<>();
    private final Map<String, Long> lastAttemptAt = new HashMap<>();

    @Override
    public void onFaultChanged(FaultChanged event) {
        if (event.isDrain() && event.injected()) {
            for (String worker : event.targets().split(TARGET_SEPARATOR)) {
                drainedAt.put(worker, event.at());
            }
        }
    }

    @Override
    public void onAttemptReceived(AttemptReceived event) {
        lastAttemptAt.merge(event.worker(), event.firstByteAt(), Math::max);
    }

    /** The longest time from a worker's last drain to the first byte of an attempt; 0 if there is none. */
    double longestMillis() {
        double longest = 0;
        for (Map.Entry<String, Long> drain : drainedAt.entrySet()) {
            Long last = lastAttemptAt.get(drain.getKey());
            if (last != null) {
                longest = Math.max(longest, (last - drain.getValue()) / MICROS_PER_MILLI);
            }
        }
        return longest;
    }
}
