package rampshift.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import rampshift.time.Moment;
import rampshift.time.Span;

/** A task taken and what became of it so far. */
final class Task {
    final long id;
    final TrafficType type;
    final int typeNumber;
    /** What it should run on a standard core, by its client's word; zero where there is none. */
    final Span hint;
    final double width;
    final double memory;
    /** When the client first asked, as far as the time it has left tells. */
    Moment firstAt;
    Moment expiry;
    final ArrayList<Attempt> sent = new ArrayList<>();
    final ArrayList<Worker> drawn = new ArrayList<>();
    final ArrayDeque<Worker> toProbe = new ArrayDeque<>();
    final ArrayDeque<Worker> copies = new ArrayDeque<>();
    /** It came too late to end in time, by the time it had left. */
    boolean late;
    /** The part of its earnings that its tenant's traffic beyond the share takes off. */
    double excess;
    int draws;
    /** How many of the drawn were tested for idleness. */
    int tested;
    /** Decides whether candidates never heard from count as idle. */
    double luck;
    boolean asked;
    /** The worker that it last erred at. */
    Worker erredAt;
    int echoesDue;
    Moment probeUntil;
    boolean closed;
    boolean waiting;
    int open;

    Task(long id, TrafficType type, int typeNumber, Span hint, double width, double memory, Moment firstAt,
            Moment expiry) {
        this.id = id;
        this.type = type;
        this.typeNumber = typeNumber;
        this.hint = hint;
        this.width = width;
        this.memory = memory;
        this.firstAt = firstAt;
        this.expiry = expiry;
    }

    void newDraw() {
        drawn.clear();
        draws = 0;
        tested = 0;
        asked = false;
    }
}
