package rampshift.testbed.verification;

import rampshift.testbed.verification.FaultEvent.ProcessChanged;

/**
 * When dispatchers could not answer their clients because their processes were killed, shut down or
 * suspended. Times are in microseconds of Unix time, dispatchers are named by their numbers.
 */
final class DispatcherOutages implements LogEventListener {
    /** From the start of a process until it listens, at the most. */
    private static final long MAX_STARTUP_MICROS = 5_000_000;
    /** How long a process that was suspended takes for what came in the meantime. */
    private static final long CATCH_UP_MICROS = 500_000;

    private final IntervalTable<Integer> suspensions = new IntervalTable<>();
    private final IntervalTable<Integer> downtimes = new IntervalTable<>();
    private final IntervalTable<Integer> kills = new IntervalTable<>();

    @Override
    public void onProcessChanged(ProcessChanged event) {
        int dispatcher = event.dispatcher();
        switch (event.change()) {
            case STOPPED -> suspensions.add(dispatcher, new Interval(event.at()));
            case CONTINUED -> endSuspension(dispatcher, event.at());
            case ENDED -> downtimes.add(dispatcher, new Interval(event.at()));
            case KILLED -> {
                downtimes.add(dispatcher, new Interval(event.at()));
                kills.add(dispatcher, Interval.instant(event.at()));
            }
            case STARTED -> endDowntime(dispatcher, event.at());
            default -> {
                // What is starved of processor time still owes its answers.
            }
        }
    }

    private void endSuspension(int dispatcher, long time) {
        Interval suspension = suspensions.lastOf(dispatcher);
        if (suspension != null) {
            suspension.endAt(time);
        }
    }

    private void endDowntime(int dispatcher, long startedAt) {
        Interval downtime = downtimes.lastOf(dispatcher);
        if (downtime != null) {
            downtime.endNoLaterThan(startedAt + MAX_STARTUP_MICROS);
        }
    }

    /** Whether the dispatcher was killed between the two times, both included. */
    boolean wasKilled(int dispatcher, long from, long to) {
        return kills.overlap(dispatcher, from, to);
    }

    /**
     * Whether the dispatcher was suspended at the expiry of a request, or was resumed so shortly before that
     * it first had to take what came in the meantime. A suspension that never ends does not count.
     *
     * @param slackMicros how much earlier than the suspension the expiry may be
     */
    boolean wasSuspendedAtExpiry(int dispatcher, long sentAt, long expiry, long slackMicros) {
        return suspensions.of(dispatcher).stream()
                .anyMatch(suspension -> !suspension.isOpen() && sentAt <= suspension.end()
                        && expiry >= suspension.start() - slackMicros
                        && expiry <= suspension.end() + CATCH_UP_MICROS);
    }

    /** Whether the dispatcher was down at that time. */
    boolean wasDown(int dispatcher, long time) {
        return downtimes.overlap(dispatcher, time, time);
    }

    /** Whether the dispatcher was down at both times, and was not up between them. */
    boolean wasDownSince(int dispatcher, long from, long to) {
        return downtimes.of(dispatcher).stream()
                .anyMatch(downtime -> downtime.contains(to) && from >= downtime.start());
    }
}
