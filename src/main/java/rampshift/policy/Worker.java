package rampshift.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import rampshift.time.Moment;
import rampshift.time.Span;

/** What this dispatcher knows of one worker. */
final class Worker {
    final long id;
    int zone;
    int cell;
    int kind;
    KindStatistics kin;
    /** A traffic type that may not go everywhere may go here. */
    boolean needed;
    boolean ready;
    /** Listed as draining, and not as ready since. */
    boolean drains;
    /** Called gone by the last list that spoke of it, or left out of a whole one, without having drained. */
    boolean gone;
    Moment bornAt = new Moment(0);
    /** Assignments still out there, those called off included until their end is heard. */
    final ArrayList<Attempt> out = new ArrayList<>();
    /** Of the last finished assignments: what a middling worker would have run, and what they ran. */
    final SampleWindow expected = new SampleWindow(20);
    final SampleWindow ran = new SampleWindow(20);
    /** 1 for each of the last outcomes that was bad. */
    final SampleWindow bad = new SampleWindow(8);
    /** Slots that other dispatchers held, by the last reports. */
    final DecayingSamples others = new DecayingSamples(8);
    Moment othersAt;
    /** 1 for each of the last assignments that its reports promised an idle slot, and that had one. */
    final DecayingSamples reportsHeld = new DecayingSamples(4);
    final SampleWindow room = new SampleWindow(12);
    /** From send to start of the last assignments, in milliseconds. */
    final DecayingSamples starts = new DecayingSamples(8);
    double memoryFree = Double.NaN;
    /** Reports tell both free and taken slots. */
    boolean roomTold;
    boolean reported;
    /** When it last turned a task away. */
    Moment fullAt;
    boolean probeSilent;
    Moment lastWord;
    Moment probedAt;
    /** 0: not set aside; else how many tasks at once it is trusted with, from a moment on. */
    int trickle;
    Moment trickleFrom;
    /** When it last left a task of a traffic type unbegun for good, if it has finished none since. */
    final Map<Integer, Moment> lostAt = new HashMap<>();
    /** Since when each of the connections to it that are free has been so, the latest last. */
    final ArrayDeque<Moment> freeSince = new ArrayDeque<>();
    /** Tasks that wait for its answer to a probe. */
    final ArrayList<Task> asking = new ArrayList<>();

    Worker(long id) {
        this.id = id;
    }

    /** It restarted: what was learnt of its former process no longer holds. */
    void forget() {
        expected.clear();
        ran.clear();
        bad.clear();
        others.clear();
        starts.clear();
        lostAt.clear();
        trickle = 0;
        reported = false;
        lastWord = null;
    }

    void reported(double free, double held, double memoryFree) {
        reported = true;
        this.memoryFree = memoryFree;
        roomTold |= !Double.isNaN(free) && !Double.isNaN(held);
        if (roomTold ? free > 0.5 : !Double.isNaN(free)) {
            room.put(roomTold ? free + held : free);
            kin.room.put(roomTold ? free + held : free);
        }
    }

    void sawRun(double expectedMs, double ranMs, boolean warm) {
        expected.put(expectedMs);
        ran.put(ranMs);
        if (warm) {
            kin.expected.put(expectedMs);
            kin.ran.put(ranMs);
        }
    }

    void sawOthers(Moment now, double held) {
        othersAt = now;
        others.put(now, held);
    }

    /** Whether a connection to it is free that was in use within that span. */
    boolean keeps(Moment now, Span idle) {
        while (!freeSince.isEmpty() && !idle.longerThan(now.since(freeSince.peek()))) {
            freeSince.poll();
        }
        return !freeSince.isEmpty();
    }

    boolean heard() {
        return reported || lastWord != null;
    }

    /** Both drop a repeat of what the other has seen. */
    boolean sharesGroup(Worker other, TrafficType.Group group) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> zone == other.zone;
            case CELL -> cell == other.cell;
        };
    }

    /** Slots that this dispatcher's own assignments take or wait for. */
    double ownWidth() {
        double sum = 0;
        for (Attempt a : out) {
            sum += a.calledOff || a.lost ? 0 : a.task.width;
        }
        return sum;
    }

    double begunWidth() {
        double sum = 0;
        for (Attempt a : out) {
            sum += a.begunAt != null && !a.calledOff && !a.lost ? a.task.width : 0;
        }
        return sum;
    }
}
