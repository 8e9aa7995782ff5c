package rampshift.discovery;

import rampshift.time.Span;

/**
 * The timings of an endpoint watch. With a drain grace they are shares of it, so that the next list of an
 * agent that did not respond to an open poll is received within nine tenths of the grace after the agent has
 * returned.
 *
 * @param pollWait how long the agent may keep a poll open while the list does not change
 * @param responseSlack how long after that a response may arrive, and how far apart its pieces may be
 * @param retryDelay the pause between a failed poll and the next one
 * @param readInterval how long input from the agent may be unread while tasks are sent
 */
record WatchTimings(Span pollWait, Span responseSlack, Span retryDelay, Span readInterval) {

    /**
     * Longest time for which the agent may keep a poll open. A silent failure of the agent or the connection
     * is detected only after that time: with a maximum of 20 s, the detection would take up to 21 s.
     */
    private static final Span MAX_POLL_WAIT = Span.ofMillis(1000);
    /** Maximum of the response slack, the time after the poll wait within which a response may arrive. */
    private static final Span MAX_RESPONSE_SLACK = Span.ofMillis(500);
    /**
     * Maximum pause between a failed poll and the next poll. Even a maximum of 200 ms would be short enough
     * to observe drains in time.
     */
    private static final Span MAX_RETRY_DELAY = Span.ofMillis(100);
    private static final Span MIN_SPAN = Span.ofMillis(10);
    private static final double POLL_WAIT_SHARE = 0.4;
    private static final double RESPONSE_SLACK_SHARE = 0.3;
    private static final double RETRY_DELAY_SHARE = 0.2;
    private static final double READ_INTERVAL_SHARE = 0.1;

    /**
     * Returns the timings for a drain grace.
     *
     * @param drainGrace the time after a worker starts draining within which the dispatcher must stop sending
     *     tasks to it; ZERO if none is configured
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
