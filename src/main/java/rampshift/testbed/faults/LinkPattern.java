package rampshift.testbed.faults;

import rampshift.testbed.workers.Fleet;

/**
 * A pattern that selects links between dispatchers: {@code d1>d2} is the link from the first dispatcher to
 * the second, {@code d1=d2} selects the links of both directions, and {@code *} matches any dispatcher.
 *
 * @param left the name of a dispatcher, or {@code *}
 * @param right the name of a dispatcher, or {@code *}
 * @param bothDirections whether links from right to left also match
 */
record LinkPattern(String left, String right, boolean bothDirections) {

    private static final char ONE_DIRECTION = '>';
    private static final char BOTH_DIRECTIONS = '=';
    private static final String ANY = "*";

    /** Parses a pattern that {@link rampshift.testbed.plan.FleetPlanReader} has accepted. */
    static LinkPattern parse(String text) {
        int separator = Math.max(text.indexOf(ONE_DIRECTION), text.indexOf(BOTH_DIRECTIONS));
        return new LinkPattern(text.substring(0, separator), text.substring(separator + 1),
                text.charAt(separator) == BOTH_DIRECTIONS);
    }

    /** Returns whether the link between two dispatchers, given by their indexes, matches. */
    boolean matches(int from, int to) {
        boolean forwards = isNameOf(left, from) && isNameOf(right, to);
        boolean backwards = isNameOf(left, to) && isNameOf(right, from);
        return forwards || (bothDirections && backwards);
    }

    private static boolean isNameOf(String name, int dispatcher) {
        return name.equals(ANY) || name.equals(Fleet.dispatcherName(dispatcher));
    }
}
