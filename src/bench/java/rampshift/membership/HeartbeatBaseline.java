package rampshift.membership;

import java.util.SplittableRandom;

/**
 * The baseline of the measurement: every member sends a heartbeat to every other one in each period, and a
 * member whose heartbeats are missing for some periods counts as failed.
 */
final class HeartbeatBaseline {
    /** The size of a heartbeat: a frame, a name and an incarnation. */
    private static final int HEARTBEAT_BYTES = 60;

    private HeartbeatBaseline() {}

    /** Returns one line with the seconds until all members detect a killed one and the false detections. */
    static String simulate(long seed, int members, int silentPeriods, double loss, int seconds) {
        SplittableRandom random = new SplittableRandom(seed);
        long falseDetections = 0;
        double detected = 0;
        for (int link = 0; link < members * (members - 1); link++) {
            // One direction between two members: one heartbeat per period, each lost at random.
            int silent = 0;
            double phase = random.nextDouble();
            for (int period = 0; period < seconds; period++) {
                silent = random.nextDouble() < loss ? silent + 1 : 0;
                falseDetections += silent == silentPeriods ? 1 : 0;
            }
            detected = link < members ? Math.max(detected, silentPeriods + phase) : detected;
        }
        return String.format("%.1f s until all know, %d false in %d s, %d bytes per second and member",
                detected,
                falseDetections, seconds, (members - 1) * HEARTBEAT_BYTES);
    }
}
