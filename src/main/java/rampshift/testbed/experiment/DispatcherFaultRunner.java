package rampshift.testbed.experiment;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.faults.FaultTargets;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.random.RandomStreams;
import rampshift.time.Moment;

/** Injects the plan's faults into the dispatchers' processes, and records them in the run's event log. */
final class DispatcherFaultRunner {
    private final long seed;
    private final DispatcherProcesses dispatchers;
    private final EventLog eventLog;
    private final Moment start;
    private final List<FleetPlan.Fault> pendingFaults;
    private final Map<Integer, Moment> restartTimes = new HashMap<>();
    private final Map<Integer, Moment> resumeTimes = new HashMap<>();

    /**
     * Prepares the faults.
     *
     * @param start the start of the load, to which the start times of the faults are relative
     */
    DispatcherFaultRunner(RunSpec spec, DispatcherProcesses dispatchers, EventLog eventLog, Moment start) {
        seed = spec.seed();
        this.dispatchers = dispatchers;
        this.eventLog = eventLog;
        this.start = start;
        pendingFaults = new ArrayList<>(
                spec.plan().faults().stream().filter(FleetPlan.Fault::affectsDispatchers).toList());
    }

    /** Returns whether a dispatcher was killed or asked to end, and has not been restarted yet. */
    boolean isDown(int dispatcher) {
        return restartTimes.containsKey(dispatcher);
    }

    /** Begins and ends the faults that are due. */
    void update(Moment now) throws IOException, InterruptedException {
        beginFaults(now);
        resumeDispatchers(now);
        restartDispatchers(now);
    }

    private void beginFaults(Moment now) throws IOException, InterruptedException {
        for (FleetPlan.Fault fault : List.copyOf(pendingFaults)) {
            if (now.before(start.plus(fault.at()))) {
                continue;
            }
            pendingFaults.remove(fault);
            for (int dispatcher : targets(fault)) {
                if (!isDown(dispatcher)) {
                    begin(fault, dispatcher, now);
                }
            }
        }
    }

    private List<Integer> targets(FleetPlan.Fault fault) {
        List<String> names =
                IntStream.range(0, dispatchers.count()).mapToObj(RunFolder::dispatcherName).toList();
        return FaultTargets.of(fault, names, RandomStreams.of(seed, "kill " + fault.at())).stream()
                .map(RunFolder::dispatcherNumber).toList();
    }

    private void begin(FleetPlan.Fault fault, int dispatcher, Moment now)
            throws IOException, InterruptedException {
        Moment end = now.plus(fault.length());
        switch (fault.what()) {
            case DISPATCHER_KILLED -> {
                resumeTimes.remove(dispatcher);
                unthrottle(dispatcher);
                kill(dispatcher);
                restartTimes.put(dispatcher, end);
            }
            case DISPATCHER_ENDED -> {
                log(now, DispatcherEvent.ENDED, dispatcher);
                dispatchers.requestStop(dispatcher);
                restartTimes.put(dispatcher, end);
            }
            case DISPATCHER_STARVED -> {
                log(now, DispatcherEvent.STARVED, dispatcher);
                dispatchers.throttle(dispatcher, fault.rate());
                resumeTimes.put(dispatcher, end);
            }
            default -> {
                log(now, DispatcherEvent.STOPPED, dispatcher);
                dispatchers.send(dispatcher, ChildProcess.Signal.STOP);
                resumeTimes.put(dispatcher, end);
            }
        }
    }

    private void kill(int dispatcher) {
        if (dispatchers.isAlive(dispatcher)) {
            log(EventClock.now(), DispatcherEvent.KILLED, dispatcher);
            dispatchers.kill(dispatcher);
        }
    }

    private boolean unthrottle(int dispatcher) {
        boolean wasThrottled = dispatchers.unthrottle(dispatcher);
        if (wasThrottled) {
            log(EventClock.now(), DispatcherEvent.FED, dispatcher);
        }
        return wasThrottled;
    }

    private void resumeDispatchers(Moment now) throws IOException, InterruptedException {
        for (int dispatcher : List.copyOf(resumeTimes.keySet())) {
            if (now.before(resumeTimes.get(dispatcher))) {
                continue;
            }
            resumeTimes.remove(dispatcher);
            if (!unthrottle(dispatcher)) {
                log(now, DispatcherEvent.CONTINUED, dispatcher);
            }
            dispatchers.send(dispatcher, ChildProcess.Signal.CONT);
        }
    }

    private void restartDispatchers(Moment now) throws IOException {
        for (int dispatcher : List.copyOf(restartTimes.keySet())) {
            if (now.before(restartTimes.get(dispatcher))) {
                continue;
            }
            restartTimes.remove(dispatcher);
            dispatchers.restart(dispatcher);
            log(now, DispatcherEvent.STARTED, dispatcher);
        }
    }

    private void log(Moment when, DispatcherEvent event, int dispatcher) {
        eventLog.append(when, event.word(), dispatcher);
    }
}
