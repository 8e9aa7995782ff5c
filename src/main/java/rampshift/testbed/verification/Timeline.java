package rampshift.testbed.verification;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rampshift.testbed.verification.FaultEvent.FaultChanged;
import rampshift.testbed.verification.FaultEvent.ProcessChanged;
import rampshift.testbed.verification.LogEvent.WorkerStarted;
import rampshift.testbed.verification.RequestEvent.AttemptReceived;

/**
 * The data that reports plot over time: the attempts of each second by worker, and when faults began and
 * ended.
 */
final class Timeline implements LogEventListener {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final long from;
    private final int seconds;
    private final Map<String, long[]> attemptsOfWorker = new TreeMap<>();
    private final List<Verdict.Mark> marks = new ArrayList<>();

    /** Creates an empty timeline from the first to the last event, in microseconds of Unix time. */
    Timeline(long from, long to) {
        this.from = from;
        seconds = (int) ((to - from) / MICROS_PER_SECOND) + 1;
    }

    /** Returns the attempts per second of each worker that started or received an attempt. */
    Map<String, long[]> attemptsOfWorker() {
        return attemptsOfWorker;
    }

    /** Returns the faults and the changes of processes except requests to shut down, in the order of time. */
    List<Verdict.Mark> marks() {
        return marks;
    }

    @Override
    public void onWorkerStarted(WorkerStarted event) {
        attemptsPerSecond(event.worker());
    }

    @Override
    public void onAttemptReceived(AttemptReceived event) {
        attemptsPerSecond(event.worker())[(int) ((event.at() - from) / MICROS_PER_SECOND)]++;
    }

    @Override
    public void onProcessChanged(ProcessChanged event) {
        if (event.change() != FaultEvent.ProcessChange.ENDED) {
            addMark(event.at(), event.text());
        }
    }

    @Override
    public void onFaultChanged(FaultChanged event) {
        addMark(event.at(), event.text());
    }

    private long[] attemptsPerSecond(String worker) {
        return attemptsOfWorker.computeIfAbsent(worker, absent -> new long[seconds]);
    }

    private void addMark(long time, String text) {
        marks.add(new Verdict.Mark((time - from) / (double) MICROS_PER_SECOND, text));
    }
}
