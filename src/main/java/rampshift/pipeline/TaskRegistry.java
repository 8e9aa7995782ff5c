package rampshift.pipeline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import rampshift.counters.Counters;

/** Last stage: the tasks in hand, and the one place where they are given back. */
public final class TaskRegistry {
    private static final int LAST = 2048;
    private final Counters counters;
    private final Map<Long, InFlightTask> tasks = new HashMap<>();
    private final Map<String, InFlightTask> byTxn = new HashMap<>();
    private final LinkedHashSet<String> lastTxns = new LinkedHashSet<>();
    private long bytes;

    public TaskRegistry(Counters counters) {
        this.counters = counters;
    }

    void count(Counters.Name name) {
        counters.add(name);
    }

    void taken(InFlightTask task) {
        counters.add(Counters.Name.TASKS_ADMITTED);
        tasks.put(task.id, task);
        byTxn.put(task.txn, task);
        bytes += task.bytes();
    }

    InFlightTask get(long id) {
        return tasks.get(id);
    }

    List<InFlightTask> inHand() {
        return new ArrayList<>(tasks.values());
    }

    /** Whether a task with this id is in hand, or was among the last. Each call of a client has a new one. */
    boolean knows(String txn) {
        return byTxn.containsKey(txn) || lastTxns.contains(txn);
    }

    /** The task was answered, or an assignment of it has ended. */
    void settle(InFlightTask task) {
        if (task.closed && task.out == 0 && tasks.remove(task.id) != null) {
            byTxn.remove(task.txn);
            // An answer and another client's call with the id of that task cross: it had reached workers.
            if (lastTxns.add(task.txn) && lastTxns.size() > LAST) {
                lastTxns.remove(lastTxns.iterator().next());
            }
            bytes -= task.bytes();
        }
    }

    public int size() {
        return tasks.size();
    }

    long bytes() {
        return bytes;
    }
}
