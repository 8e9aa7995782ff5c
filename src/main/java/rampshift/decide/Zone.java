package rampshift.decide;

/** What was seen of all workers of one zone. */
final class Zone {
    /** Of the last assignments that reports promised an idle slot: 1 for each that had one. */
    final Aged reportsHeld = new Aged(16);
    /** Of the last assignments: 1 for each that began, 0 for each of which nothing was heard. */
    final Aged reached = new Aged(32);
}
