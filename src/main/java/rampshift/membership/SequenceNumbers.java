package rampshift.membership;

/** Generates the sequence numbers of probes, by which answers are matched to them. */
final class SequenceNumbers {
    private long last;

    long next() {
        last++;
        return last;
    }
}
