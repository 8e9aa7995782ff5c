package rampshift.discovery;

import rampshift.time.Span;

/**
 * How long the parts of a watch on discovery may take. With a drain grace they are shares of it, so that an
 * agent that was silent while a poll was open is heard within nine tenths of the grace once it is back.
 *
 * @param pollWait how long the agent may keep a poll open while nothing changes
 * @param responseSlack how late, beyond that, a response or the next piece of it may be
 * @param retryDelay the pause between a failed poll and the next one
 * @param readInterval how long what the agent has sent may lie unread
 */
record WatchTimings(Span pollWait, Span responseSlack, Span retryDelay, Span readInterval) {

    /** With 20 s a watch that had fallen silent was noticed after 21 s. */
    private static final Span MAX_POLL_WAIT = Span.ofMillis(1000);
    private static final Span MAX_RESPONSE_SLACK = Span.ofMillis(500);
    /** With 200 ms drains were still observed in time. */
    private static final Span MAX_RETRY_DELAY = Span.ofMillis(100);
    private static final Span MIN_SPAN = Span.ofMillis(10);
    private static final double POLL_WAIT_SHARE = 0.4;
    private static final double RESPONSE_SLACK_SHARE = 0.3;
    private static final double RETRY_DELAY_SHARE = 0.2;
    private static final double READ_INTERVAL_SHARE = 0.1;

    /**
     * The timings for a drain grace.
     *
     * @param drainGrace how soon after a worker began to drain no task may be sent to it any more; ZERO
     *     where no grace is stated
     */
    static WatchTimings forDrainGrace(Span drainGrace) {
        return new WatchTimings(shareOf(drainGrace, POLL_WAIT_SHARE, MAX_POLL_WAIT),
                shareOf(drainGrace, RESPONSE_SLACK_SHARE, MAX_RESPONSE_SLACK),
                shareOf(drainGrace, RETRY_DELAY_SHARE, MAX_RETRY_DELAY),
                drainGrace.times(READ_INTERVAL_SHARE));
    }

    private static Span shareOf(Span drainGrace, double share, Span longest) {
        if (drainGrace.micros() <= 0) {
            return longest;
        }
        return drainGrace.times(share).orLonger(MIN_SPAN).orShorter(longest);
    }
}
