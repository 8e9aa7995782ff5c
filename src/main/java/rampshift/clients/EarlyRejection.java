package rampshift.clients;

/**
 * Decides which requests are rejected for overload as soon as they are complete. That takes a part of what a
 * decoded task costs, and has to: the dispatcher is behind already.
 */
public interface EarlyRejection {
    /** Returns whether to reject the request of this head; it counts as rejected then. */
    boolean rejects(RequestHead head);

    /** Returns the value of Retry-After in responses to rejected requests, or null for none. */
    String retryAfterSeconds();
}
