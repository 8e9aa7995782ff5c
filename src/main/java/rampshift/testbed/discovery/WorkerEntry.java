package rampshift.testbed.discovery;

import java.util.Locale;

/**
 * What the roster knows of one worker. Ports: one for each dispatcher. Born: Unix time in ms, 0 for long ago.
 */
public record WorkerEntry(String uid, String site, String machine, int cell, State state, double weight,
        long bornMs,
        int[] ports) {
    /** Of the process, as far as the roster can know. */
    public enum State { READY, DRAINING, GONE }

    public WorkerEntry with(State other) {
        return new WorkerEntry(uid, site, machine, cell, other, weight, bornMs, ports);
    }

    public WorkerEntry weighing(double other) {
        return new WorkerEntry(uid, site, machine, cell, state, other, bornMs, ports);
    }

    public WorkerEntry bornAt(long ms) {
        return new WorkerEntry(uid, site, machine, cell, State.READY, weight, ms, ports);
    }

    /** As a dispatcher is told of it. */
    String json(int dispatcher) {
        String wire = switch (state) {
            case READY -> "in_service";
            case DRAINING -> "terminating";
            case GONE -> "terminated";
        };
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + ports[dispatcher] + "\",\"az\":\""
                + site
                + "\",\"model\":\"" + machine + "\",\"pod_group\":" + cell + ",\"state\":\"" + wire
                + "\",\"capacity_hint\":" + String.format(Locale.ROOT, "%.3f", weight) + ",\"boot_ms\":"
                + bornMs + "}";
    }
}
