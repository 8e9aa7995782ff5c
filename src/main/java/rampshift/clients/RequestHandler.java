package rampshift.clients;

/** Receives the clients' requests, on the I/O thread. */
@FunctionalInterface
public interface RequestHandler {
    /** A request is complete; the handler responds to it now or later. */
    void onRequest(ClientRequest request);
}
