package rampshift.pipeline;

import rampshift.clients.EarlyRejection;
import rampshift.clients.RequestHead;
import rampshift.counters.Counters;
import rampshift.time.Span;

/**
 * Rejects tasks by the head of their request alone while the {@link AdmissionWindow} admits none. A request
 * whose transaction id is known is still decoded, and refused as a duplicate: an attempt at that task may
 * have run, and a rejection would allow the client to retry it.
 */
public final class OverloadRejection implements EarlyRejection {
    private final AdmissionWindow window;
    private final String retryAfterSeconds;
    private final TaskRegistry registry;
    private final Counters counters;

    /**
     * Creates a rejection that depends on a window.
     *
     * @param retryAfter the delay after which a rejected client may retry; zero to send no Retry-After
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
        if (!window.isRejecting() || !isNewTask(head)) {
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
