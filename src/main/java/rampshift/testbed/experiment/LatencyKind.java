package rampshift.testbed.experiment;

/** Which durations a histogram of the load processes counts. */
enum LatencyKind {
    /** From when a task was due to be sent until its response. */
    LATENCY("latency"),
    /** The latency without the time for which a worker ran the task. */
    ADDED("added");

    private static final String SEPARATOR = ".";

    private final String name;

    LatencyKind(String name) {
        this.name = name;
    }

    /** The tag of the histogram of a traffic type. */
    String tag(String trafficType) {
        return name + SEPARATOR + trafficType;
    }

    /** Whether a tag is one of this kind. */
    boolean matches(String tag) {
        return tag.startsWith(name + SEPARATOR);
    }
}
