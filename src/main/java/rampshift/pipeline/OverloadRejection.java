package rampshift.pipeline;

import rampshift.clients.EarlyRejection;
import rampshift.clients.RequestHead;
import rampshift.counters.Counters;
import rampshift.time.Span;

/**
 * Rejects tasks by their head alone while the {@link AdmissionWindow} is shut. A task whose transaction is
 * known here is decoded all the same: an attempt of it may have run, and a client may repeat what was
 * rejected.
 */
public final class OverloadRejection implements EarlyRejection {
    private final AdmissionWindow window;
    private final String retryAfterSeconds;
    private final TaskRegistry registry;
    private final Counters counters;

    /**
     * Creates the rejection.
     *
     * @param retryAfter when a rejected client may retry; zero to tell none
     */
    public OverloadRejection(AdmissionWindow window, Span retryAfter, TaskRegistry registry,
            Counters counters) {
        this.window = window;
        this.registry = registry;
        this.counters = counters;
        retryAfterSeconds = Responder.retryAfterSeconds(retryAfter);
    }

    @Override
    public boolean rejects(RequestHead head) {
        if (!window.isShut() || !isNewTask(head)) {
            return false;
        }
        counters.add(Counters.Name.TASKS_REJECTED_OVERLOAD);
        counters.add(Counters.Name.TASKS_REJECTED);
        return true;
    }

    private boolean isNewTask(RequestHead head) {
        String transactionId = head.isPost() ? head.value(RequestDecoder.TRANSACTION_FIELD) : null;
        return transactionId != null && !registry.isKnown(transactionId);
    }

    @Override
    public String retryAfterSeconds() {
        return retryAfterSeconds;
    }
}
