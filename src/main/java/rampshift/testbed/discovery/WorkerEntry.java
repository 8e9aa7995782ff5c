package rampshift.testbed.discovery;

import java.util.List;
import java.util.Locale;

/**
 * What discovery knows of one worker.
 *
 * @param uid the name of the worker, unique in the fleet
 * @param site the name of its site
 * @param machine the name of its kind of machine
 * @param cell the number of its cell
 * @param state the state of its process
 * @param weight its capacity, as the work it does in a second relative to one slot of speed 1
 * @param startedAtMs when its process started, as Unix time in milliseconds; 0 if that was long ago
 * @param ports the ports of 127.0.0.1 at which dispatchers reach it, by the index of the dispatcher
 */
public record WorkerEntry(String uid, String site, String machine, int cell, State state, double weight,
        long startedAtMs, List<Integer> ports) {

    /** The state of a worker's process, as far as discovery knows. */
    public enum State {
        /** It takes tasks. */
        READY("in_service"),
        /** It completes the tasks it has and must get no others. */
        DRAINING("terminating"),
        /** It has ended. */
        GONE("terminated");

        private final String wireName;

        State(String wireName) {
            this.wireName = wireName;
        }
    }

    /** Creates an entry that holds a copy of the ports. */
    public WorkerEntry {
        ports = List.copyOf(ports);
    }

    /** This entry with another state. */
    public WorkerEntry withState(State other) {
        return new WorkerEntry(uid, site, machine, cell, other, weight, startedAtMs, ports);
    }

    /** This entry with another weight. */
    public WorkerEntry withWeight(double other) {
        return new WorkerEntry(uid, site, machine, cell, state, other, startedAtMs, ports);
    }

    /**
     * The entry of this worker after a restart: ready again, in a new process.
     *
     * @param timeMs when the process started, as Unix time in milliseconds
     */
    public WorkerEntry restartedAt(long timeMs) {
        return new WorkerEntry(uid, site, machine, cell, State.READY, weight, timeMs, ports);
    }

    /** The JSON object in which a dispatcher is told of this worker, with the port for that dispatcher. */
    String toJson(int dispatcher) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + ports.get(dispatcher) + "\",\"az\":\""
                + site + "\",\"model\":\"" + machine + "\",\"pod_group\":" + cell + ",\"state\":\""
                + state.wireName + "\",\"capacity_hint\":" + String.format(Locale.ROOT, "%.3f", weight)
                + ",\"boot_ms\":" + startedAtMs + "}";
    }
}
