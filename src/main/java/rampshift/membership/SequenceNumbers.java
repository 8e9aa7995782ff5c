package rampshift.membership;

/** The numbers of the probes of this process, by which answers are matched. */
final class SequenceNumbers {
    private long last;

    long next() {
        last++;
        return last;
    }
}
