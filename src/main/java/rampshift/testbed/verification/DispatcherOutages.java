package rampshift.testbed.verification;

import rampshift.testbed.verification.FaultEvent.ProcessChanged;

/**
 * The periods in which dispatchers could not respond to clients because their processes were killed, shut
 * down or suspended. Times are in microseconds of Unix time; dispatchers are identified by index.
 */
final class DispatcherOutages implements LogEventListener {
    /** The maximum time from the start of a process until it listens. */
    private static final long MAX_STARTUP_MICROS = 5_000_000;
    /** The time that a resumed process may need for the requests that arrived during its suspension. */
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
                // A dispatcher with limited processor time still has to respond.
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

    /** Returns whether the dispatcher was killed between the two times, both included. */
    boolean wasKilled(int dispatcher, long from, long to) {
        return kills.overlap(dispatcher, from, to);
    }

    /**
     * Returns whether the dispatcher was suspended when a request expired, or was resumed so shortly before
     * that it was still handling requests that arrived during the suspension. A suspension that never ends,
     * or that ended before the request was sent, does not count.
     *
     * @param slackMicros how much earlier than the suspension the expiry may be, in microseconds
     */
    boolean wasSuspendedAtExpiry(int dispatcher, long sentAt, long expiry, long slackMicros) {
        return suspensions.of(dispatcher).stream()
                .anyMatch(suspension -> !suspension.isOpen() && sentAt <= suspension.end()
                        && expiry >= suspension.start() - slackMicros
                        && expiry <= suspension.end() + CATCH_UP_MICROS);
    }

    /** Returns whether the dispatcher was down at that time. */
    boolean wasDown(int dispatcher, long time) {
        return downtimes.overlap(dispatcher, time, time);
    }

    /** Returns whether the dispatcher was down during the whole period between the two times. */
    boolean wasDownSince(int dispatcher, long from, long to) {
        return downtimes.of(dispatcher).stream()
                .anyMatch(downtime -> downtime.contains(to) && from >= downtime.start());
    }
}
