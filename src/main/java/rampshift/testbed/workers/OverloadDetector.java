package rampshift.testbed.workers;

import java.util.ArrayDeque;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Detects that a cold worker receives more work within a time window than it can without crashing. */
final class OverloadDetector {
    /** Work that was received, in slot-microseconds on a machine of speed 1. */
    private record ReceivedWork(Moment when, double amount) {}

    private final Span window;
    private final double maxLoad;
    private final ArrayDeque<ReceivedWork> received = new ArrayDeque<>();
    private double receivedInWindow;

    OverloadDetector(FleetPlan.SlowStart settings) {
        window = settings.overloadWindow();
        maxLoad = settings.overloadFactor();
    }

    /** Discards all recorded work. */
    void clear() {
        received.clear();
        receivedInWindow = 0;
    }

    /**
     * Records work that was received.
     *
     * @param now when it was received
     * @param work its amount, in slot-microseconds on a machine of speed 1
     * @param capacity the amount of work that the worker now does in a microsecond
     * @return whether the work received in the window crashes the worker
     */
    boolean isOverloadedBy(Moment now, double work, double capacity) {
        received.add(new ReceivedWork(now, work));
        receivedInWindow += work;
        while (now.since(received.peek().when()).longerThan(window)) {
            receivedInWindow -= received.poll().amount();
        }
        return receivedInWindow > maxLoad * (capacity * window.micros());
    }
}
