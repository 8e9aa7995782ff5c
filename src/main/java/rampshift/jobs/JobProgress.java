package rampshift.jobs;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The progress of a periodic job, as stored in the register of its lease.
 *
 * @param run number of the run in progress, or of the last complete one
 * @param settledBelow all objects below this index are settled: completed, or reported and not retried
 * @param submittableBelow objects from this index on have not been submitted by any holder; those between
 *         both indices may be in flight
 * @param complete whether the run is complete
 */
public record JobProgress(long run, int settledBelow, int submittableBelow, boolean complete) {

    /** The progress of a job that has never run. */
    public static final JobProgress NONE = new JobProgress(0, 0, 0, true);

    private static final Pattern TEXT = Pattern.compile("(\\d{1,15}):(\\d{1,9}):(\\d{1,9}):(over|on)");
    private static final String COMPLETE = "over";
    private static final String IN_PROGRESS = "on";

    /** Encodes the progress as the note of a lease. */
    public String encode() {
        return run + ":" + settledBelow + ":" + submittableBelow + ":" + (complete ? COMPLETE : IN_PROGRESS);
    }

    /** Parses the text format of {@link #encode}; returns {@link #NONE} for any other text. */
    public static JobProgress parse(String note) {
        Matcher matcher = TEXT.matcher(note);
        if (!matcher.matches()) {
            return NONE;
        }
        return new JobProgress(Long.parseLong(matcher.group(1)), Integer.parseInt(matcher.group(2)),
                Integer.parseInt(matcher.group(3)), matcher.group(4).equals(COMPLETE));
    }
}
