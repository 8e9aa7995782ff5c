package rampshift.membership;

import rampshift.time.Moment;

/**
 * The time of the current input. Only {@link SwimMembership} sets it; this package reads no clock.
 */
final class InputTime {
    private Moment now;

    Moment now() {
        return now;
    }

    void set(Moment time) {
        now = time;
    }
}
