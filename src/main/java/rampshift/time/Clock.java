package rampshift.time;

/**
 * The running clock: monotonic, and set once to Unix time, because start times of workers are told so.
 * Later steps of the machine's wall clock move nothing.
 */
public final class Clock {
    private final long zero;

    public Clock() {
        zero = System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;
    }

    public Moment now() {
        return new Moment(zero + System.nanoTime() / 1000);
    }
}
