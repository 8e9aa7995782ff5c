package rampshift.membership;

import rampshift.time.Moment;

/**
 * The time of the input that is being handled. Only {@link SwimMembership} sets it; the package reads no
 * clock.
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
