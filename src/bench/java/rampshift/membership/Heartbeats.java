package rampshift.membership;

import java.util.SplittableRandom;

/**
 * The baseline: each tells each that it is there in every period, and one not heard of for some periods has
 * failed.
 * Played in simulated time over the same losses and ways as {@link SimulatedNetwork}.
 */
final class Heartbeats {
    static final int BYTES = 60;        // a frame, a name, an incarnation

    private Heartbeats() {}

    /** Of seconds until the last of the others knows that one was killed, and of false verdicts: one line. */
    static String play(long seed, int members, int periodsOfSilence, double lost, int seconds) {
        SplittableRandom chance = new SplittableRandom(seed);
        long accused = 0;
        double last = 0;
        for (int pair = 0; pair < members * (members - 1); pair++) {
            // One of each pair's two rows of beats, sent once a period, each lost by chance.
            int silent = 0;
            double phase = chance.nextDouble();
            for (int period = 0; period < seconds; period++) {
                silent = chance.nextDouble() < lost ? silent + 1 : 0;
                accused += silent == periodsOfSilence ? 1 : 0;
            }
            last = pair < members ? Math.max(last, periodsOfSilence + phase) : last;
        }
        return String.format("%.1f s until all know, %d false in %d s, %d bytes a second and member", last,
                accused, seconds, (members - 1) * BYTES);
    }
}
