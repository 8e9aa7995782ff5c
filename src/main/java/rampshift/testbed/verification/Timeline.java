package rampshift.testbed.verification;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rampshift.testbed.verification.FaultEvent.FaultChanged;
import rampshift.testbed.verification.FaultEvent.ProcessChanged;
import rampshift.testbed.verification.LogEvent.WorkerStarted;
import rampshift.testbed.verification.RequestEvent.AttemptReceived;

/** What reports plot over time: the attempts of each second by worker, and when faults began and ended. */
final class Timeline implements LogEventListener {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final long from;
    private final int seconds;
    private final Map<String, long[]> attemptsOfWorker = new TreeMap<>();
    private final List<Verdict.Mark> marks = new ArrayList<>();

    /** An empty timeline between the times of the first and last event, in microseconds of Unix time. */
    Timeline(long from, long to) {
        this.from = from;
        seconds = (int) ((to - from) / MICROS_PER_SECOND) + 1;
    }

    /** By worker, also those without any, the attempts that it received in each second. */
    Map<String, long[]> attemptsOfWorker() {
        return attemptsOfWorker;
    }

    /** The faults and the changes of processes, in the order of their times. */
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
