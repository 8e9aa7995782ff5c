package rampshift.clients;

/**
 * Decides which requests are rejected for overload as soon as they are complete. Rejecting here is cheaper
 * than after decoding the task, which matters since the dispatcher is already overloaded.
 */
public interface EarlyRejection {
    /** Returns whether to reject the request with this head, and counts the rejection. */
    boolean rejects(RequestHead head);

    /** Returns the value of Retry-After in responses to rejected requests, or null for none. */
    String retryAfterSeconds();
}
