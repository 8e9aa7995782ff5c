package rampshift.clients;

/** Receives the events of a client connection. */
interface ConnectionEvents {
    /** Called when the state of the connection may have changed. */
    void stateChanged(ClientConnection connection);

    /** Called when the client waits for "100 Continue" before it sends a body. */
    void continueExpected(ClientConnection connection);

    /**
     * Called when the input after the request in flight was dropped, since it exceeded the limit per
     * connection or the memory for all connections.
     */
    void pipelinedInputDropped(ClientConnection connection);

    /** Called when the client has sent input that is not a valid request. */
    void invalidRequest(ClientConnection connection, InvalidRequestException reason);

    /**
     * Called when a request is complete. Returns whether it is rejected for overload; if so, the
     * implementation sends the response, and the HTTP server must not read any of the request.
     */
    boolean rejectsForOverload(ClientConnection connection, RequestHead head);

    /** Called when input that was read ahead can be processed once the other sockets have been polled. */
    void readOnNextTick(ClientConnection connection);
}
