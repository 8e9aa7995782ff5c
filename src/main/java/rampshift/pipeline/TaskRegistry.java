package rampshift.pipeline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/** The tasks in flight, which only this class removes, and the transaction ids of recent tasks. */
public final class TaskRegistry {
    private static final int MAX_RECENT_TRANSACTIONS = 2048;

    private final Map<Long, InFlightTask> tasks = new HashMap<>();
    private final Map<String, InFlightTask> byTransactionId = new HashMap<>();
    private final LinkedHashSet<String> recentTransactionIds = new LinkedHashSet<>();
    private long heldBytes;

    void add(InFlightTask task) {
        tasks.put(task.id(), task);
        byTransactionId.put(task.transactionId(), task);
        heldBytes += task.heldBytes();
    }

    /** Returns a task in flight; null if there is none with this id. */
    InFlightTask get(long id) {
        return tasks.get(id);
    }

    /** Returns a copy of the tasks in flight, so that tasks may be removed during an iteration. */
    List<InFlightTask> all() {
        return new ArrayList<>(tasks.values());
    }

    /**
     * Returns whether a task with this transaction id is in flight or was recently. Every request must have a
     * new id.
     */
    boolean isKnown(String transactionId) {
        return byTransactionId.containsKey(transactionId) || recentTransactionIds.contains(transactionId);
    }

    /** Removes a task once it is answered and all its attempts have ended. */
    void removeIfCompleted(InFlightTask task) {
        if (task.isCompleted() && tasks.remove(task.id()) != null) {
            byTransactionId.remove(task.transactionId());
            remember(task.transactionId());
            heldBytes -= task.heldBytes();
        }
    }

    /**
     * Remembers the id of a completed task for a while: the response to it may cross a request with the same
     * id, whose task has already been sent to workers.
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

    /** Returns the memory that the tasks in flight take up, in bytes. */
    long heldBytes() {
        return heldBytes;
    }
}
