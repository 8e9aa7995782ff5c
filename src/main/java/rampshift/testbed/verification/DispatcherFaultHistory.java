package rampshift.testbed.verification;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import rampshift.testbed.verification.FaultEvent.FaultChanged;
import rampshift.testbed.verification.FaultEvent.ProcessChange;
import rampshift.testbed.verification.FaultEvent.ProcessChanged;

/**
 * The faults that disturb the communication between dispatchers: processes that are killed, shut down,
 * suspended or limited in processor time, and faulty links. Times are in microseconds of Unix time;
 * dispatchers are identified by name.
 */
final class DispatcherFaultHistory implements LogEventListener {
    private final IntervalTable<String> absences = new IntervalTable<>();
    /** The absences during which the process was killed. */
    private final IntervalTable<String> kills = new IntervalTable<>();
    private final IntervalTable<String> throttlings = new IntervalTable<>();
    private final List<Interval> linkFaults = new ArrayList<>();
    private final Map<String, Interval> openLinkFaults = new HashMap<>();

    @Override
    public void onProcessChanged(ProcessChanged event) {
        String dispatcher = event.dispatcherName();
        switch (event.change()) {
            case KILLED, ENDED, STOPPED -> {
                Interval absence = openAbsence(dispatcher, event.at());
                if (event.change() == ProcessChange.KILLED) {
                    kills.add(dispatcher, absence);
                }
            }
            case STARTED, CONTINUED -> {
                if (isAbsent(dispatcher)) {
                    absences.lastOf(dispatcher).endAt(event.at());
                }
            }
            case STARVED -> throttlings.add(dispatcher, new Interval(event.at()));
            default -> endThrottling(dispatcher, event.at()); // FED
        }
    }

    private void endThrottling(String dispatcher, long time) {
        Interval throttling = throttlings.lastOf(dispatcher);
        if (throttling != null) {
            throttling.endAt(time);
        }
    }

    /** Returns the open absence of a dispatcher, or opens one that starts now. */
    private Interval openAbsence(String dispatcher, long time) {
        if (!isAbsent(dispatcher)) {
            absences.add(dispatcher, new Interval(time));
        }
        return absences.lastOf(dispatcher);
    }

    @Override
    public void onFaultChanged(FaultChanged event) {
        if (!event.isLinkFault()) {
            return;
        }
        String fault = event.kind() + " " + event.targets();
        if (event.injected()) {
            Interval interval = new Interval(event.at());
            openLinkFaults.put(fault, interval);
            linkFaults.add(interval);
        } else if (openLinkFaults.containsKey(fault)) {
            openLinkFaults.remove(fault).endAt(event.at());
        }
    }

    /** Returns whether the process is absent after the events received so far. */
    boolean isAbsent(String dispatcher) {
        Interval last = absences.lastOf(dispatcher);
        return last != null && last.isOpen();
    }

    /** Returns whether the process was absent at any instant between the two times, both included. */
    boolean wasAbsent(String dispatcher, long from, long to) {
        return absences.overlap(dispatcher, from, to);
    }

    /** Returns whether the processor time was limited at any instant between the two times, both included. */
    boolean wasThrottled(String dispatcher, long from, long to) {
        return throttlings.overlap(dispatcher, from, to);
    }

    /** Returns whether any link was faulty at any instant between the two times, both included. */
    boolean wasAnyLinkFaulty(long from, long to) {
        return linkFaults.stream().anyMatch(interval -> interval.overlaps(from, to));
    }

    /** Calls the action for each kill, with the name of the dispatcher and its absence. */
    void forEachKill(BiConsumer<String, Interval> action) {
        kills.forEach(action);
    }

    /** Returns when the last fault ended, but at most the limit; 0 if there was no fault. */
    long lastFaultEnd(long limit) {
        return Stream.of(absences.all(), throttlings.all(), linkFaults.stream())
                .flatMap(intervals -> intervals)
                .mapToLong(interval -> Math.min(interval.end(), limit))
                .max()
                .orElse(0);
    }
}
