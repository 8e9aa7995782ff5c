package rampshift.pipeline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/** The tasks in flight, and the one place where they are removed. */
public final class TaskRegistry {
    private static final int MAX_RECENT_TRANSACTIONS = 2048;

    private final Map<Long, InFlightTask> tasks = new HashMap<>();
    private final Map<String, InFlightTask> byTransactionId = new HashMap<>();
    private final LinkedHashSet<String> recentTransactionIds = new LinkedHashSet<>();
    private long byteCount;

    void add(InFlightTask task) {
        tasks.put(task.id(), task);
        byTransactionId.put(task.transactionId(), task);
        byteCount += task.byteCount();
    }

    /** Returns a task in flight; null if there is none with this id. */
    InFlightTask get(long id) {
        return tasks.get(id);
    }

    /** Returns a copy, so that tasks may be removed while it is walked. */
    List<InFlightTask> all() {
        return new ArrayList<>(tasks.values());
    }

    /**
     * Returns whether a task with this transaction id is in flight, or recently was; each request has a new
     * one.
     */
    boolean isKnown(String transactionId) {
        return byTransactionId.containsKey(transactionId) || recentTransactionIds.contains(transactionId);
    }

    /** Removes a task once it is answered and all its attempts have ended. */
    void removeIfCompleted(InFlightTask task) {
        if (task.isCompleted() && tasks.remove(task.id()) != null) {
            byTransactionId.remove(task.transactionId());
            remember(task.transactionId());
            byteCount -= task.byteCount();
        }
    }

    /**
     * A response and another client's request with the id of that task may cross: it has reached workers
     * already.
     */
    private void remember(String transactionId) {
        boolean added = recentTransactionIds.add(transactionId);
        if (added && recentTransactionIds.size() > MAX_RECENT_TRANSACTIONS) {
            recentTransactionIds.remove(recentTransactionIds.iterator().next());
        }
    }

    /** Returns the number of tasks in flight. */
    public int size() {
        return tasks.size();
    }

    /** Returns how many bytes the messages of the tasks in flight take. */
    long byteCount() {
        return byteCount;
    }
}
