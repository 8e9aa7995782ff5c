package rampshift.stages;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rampshift.counters.Counters;

/** Last stage: the tasks in hand, and the one place where they are given back. */
public final class Book {
    private final Counters counters;
    private final Map<Long, InHand> tasks = new HashMap<>();
    private final Map<String, InHand> byTxn = new HashMap<>();
    private long bytes;

    public Book(Counters counters) {
        this.counters = counters;
    }

    void count(Counters.Name name) {
        counters.add(name);
    }

    void taken(InHand task) {
        counters.add(Counters.Name.TAKEN);
        tasks.put(task.id, task);
        byTxn.put(task.txn, task);
        bytes += task.bytes();
    }

    InHand get(long id) {
        return tasks.get(id);
    }

    List<InHand> inHand() {
        return new ArrayList<>(tasks.values());
    }

    boolean holds(String txn) {
        return byTxn.containsKey(txn);
    }

    /** The task was answered, or an assignment of it has ended. */
    void settle(InHand task) {
        if (task.closed && task.out == 0 && tasks.remove(task.id) != null) {
            byTxn.remove(task.txn);
            bytes -= task.bytes();
        }
    }

    public int tasks() {
        return tasks.size();
    }

    long bytes() {
        return bytes;
    }
}
