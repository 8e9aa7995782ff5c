package rampshift.testbed.experiment;

/**
 * A line of a dispatcher's event log: time, log, dispatcher, event and more, separated by spaces.
 *
 * @param text the whole line
 */
record EventLine(String text) {
    private static final int TIME = 0;
    private static final int DISPATCHER = 2;
    private static final int EVENT = 3;

    /** When the event happened, in microseconds on the clock of event logs. */
    long micros() {
        return Long.parseLong(field(TIME));
    }

    /** The dispatcher that wrote the line. */
    String dispatcher() {
        return field(DISPATCHER);
    }

    /** The kind of event. */
    String event() {
        return field(EVENT);
    }

    /** Whether the line contains a text. */
    boolean contains(String part) {
        return text.contains(part);
    }

    private String field(int position) {
        return text.split(" ")[position];
    }
}
