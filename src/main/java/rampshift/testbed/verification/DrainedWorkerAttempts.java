package rampshift.testbed.verification;

import java.util.HashMap;
import java.util.Map;
import rampshift.testbed.verification.FaultEvent.FaultChanged;
import rampshift.testbed.verification.RequestEvent.AttemptReceived;

/**
 * Measures how long after the start of a worker's drain attempts of any dispatcher still reach the worker.
 * Ignores drains for which the event log contains only the number of workers instead of their names.
 */
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

    /**
     * Returns the longest time from a worker's last drain to the first byte of its last attempt, at least 0.
     */
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
