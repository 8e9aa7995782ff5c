package rampshift.testbed.discovery;

import java.util.List;
import java.util.Locale;

/**
 * The entry of one worker in the endpoint list.
 *
 * @param uid the name of the worker, unique in the fleet
 * @param site the name of its site
 * @param machine the name of its kind of machine
 * @param cell the number of its cell
 * @param state the state of its process
 * @param weight its capacity, in slots of speed 1
 * @param startedAtMs when its process started, as Unix time in milliseconds; 0 for a worker that started
 *        before the run
 * @param ports the ports on 127.0.0.1 at which dispatchers reach it, by the index of the dispatcher
 */
public record WorkerEntry(String uid, String site, String machine, int cell, State state, double weight,
        long startedAtMs, List<Integer> ports) {

    /** The state of a worker's process in the endpoint list. */
    public enum State {
        /** It accepts tasks. */
        READY("in_service"),
        /** It completes its tasks and must receive no further ones. */
        DRAINING("terminating"),
        /** It has terminated. */
        GONE("terminated");

        private final String wireName;

        State(String wireName) {
            this.wireName = wireName;
        }
    }

    /** Copies the list of ports. */
    public WorkerEntry {
        ports = List.copyOf(ports);
    }

    /** Returns this entry with another state. */
    public WorkerEntry withState(State other) {
        return new WorkerEntry(uid, site, machine, cell, other, weight, startedAtMs, ports);
    }

    /** Returns this entry with another weight. */
    public WorkerEntry withWeight(double other) {
        return new WorkerEntry(uid, site, machine, cell, state, other, startedAtMs, ports);
    }

    /**
     * Returns the entry of this worker after a restart: ready, in a new process.
     *
     * @param timeMs when the process started, as Unix time in milliseconds
     */
    public WorkerEntry restartedAt(long timeMs) {
        return new WorkerEntry(uid, site, machine, cell, State.READY, weight, timeMs, ports);
    }

    /** Returns the JSON object of this worker for a dispatcher, with the port for that dispatcher. */
    String toJson(int dispatcher) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + ports.get(dispatcher) + "\",\"az\":\""
                + site + "\",\"model\":\"" + machine + "\",\"pod_group\":" + cell + ",\"state\":\""
                + state.wireName + "\",\"capacity_hint\":" + String.format(Locale.ROOT, "%.3f", weight)
                + ",\"boot_ms\":" + startedAtMs + "}";
    }
}
