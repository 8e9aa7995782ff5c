package rampshift.testbed.experiment;

/**
 * A line of a dispatcher's event log: time, log, dispatcher, event and further fields, separated by spaces.
 *
 * @param text the whole line
 */
record EventLine(String text) {
    private static final int TIME_FIELD = 0;
    private static final int DISPATCHER_FIELD = 2;
    private static final int EVENT_FIELD = 3;

    /** Returns the time of the event, in microseconds on the clock of event logs. */
    long micros() {
        return Long.parseLong(field(TIME_FIELD));
    }

    /** Returns the name of the dispatcher that wrote the line. */
    String dispatcher() {
        return field(DISPATCHER_FIELD);
    }

    /** Returns the kind of event. */
    String event() {
        return field(EVENT_FIELD);
    }

    /** Returns whether the line contains a text. */
    boolean contains(String part) {
        return text.contains(part);
    }

    private String field(int position) {
        return text.split(" ")[position];
    }
}
