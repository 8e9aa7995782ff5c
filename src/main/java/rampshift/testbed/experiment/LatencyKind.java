package rampshift.testbed.experiment;

/** The kind of durations in a histogram of a load process. */
enum LatencyKind {
    /** The time from the scheduled send time of an attempt that finished to its response. */
    LATENCY("latency"),
    /** The latency in excess of the run time of the task at the worker. */
    ADDED("added");

    private static final String SEPARATOR = ".";

    private final String name;

    LatencyKind(String name) {
        this.name = name;
    }

    /** Returns the tag of this kind of histogram for a traffic type. */
    String tag(String trafficType) {
        return name + SEPARATOR + trafficType;
    }

    /** Returns whether the histogram with a tag is of this kind. */
    boolean matches(String tag) {
        return tag.startsWith(name + SEPARATOR);
    }
}
