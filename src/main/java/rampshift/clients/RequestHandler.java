package rampshift.clients;

/** Handles client requests, on the I/O thread. */
@FunctionalInterface
public interface RequestHandler {
    /** Handles a complete request; the response may be sent now or later. */
    void onRequest(ClientRequest request);
}
