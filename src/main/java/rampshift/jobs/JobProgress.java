package rampshift.jobs;

/**
 * How far a duty has come, as its lease's register keeps it.
 *
 * @param run the number of the run it is at, or has ended
 * @param from all objects before it are settled: done, or told as not to be tried again
 * @param to objects from there on have not been handed in by anybody; those between may be out
 * @param over the run has ended
 */
public record JobProgress(long run, int from, int to, boolean over) {

    public static final JobProgress NONE = new JobProgress(0, 0, 0, true);

    public String text() {
        return run + ":" + from + ":" + to + ":" + (over ? "over" : "on");
    }

    /** A text that is none counts as nothing done. */
    public static JobProgress of(String text) {
        String[] parts = text.split(":");
        if (parts.length != 4 || !text.matches("\\d{1,15}:\\d{1,9}:\\d{1,9}:(over|on)")) {
            return NONE;
        }
        return new JobProgress(Long.parseLong(parts[0]), Integer.parseInt(parts[1]),
                Integer.parseInt(parts[2]),
                parts[3].equals("over"));
    }
}
