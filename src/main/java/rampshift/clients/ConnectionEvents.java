package rampshift.clients;

/** What a client's connection reports to its owner while it reads. */
interface ConnectionEvents {
    /** The state of the connection may have changed. */
    void stateChanged(ClientConnection connection);

    /** The client waits for "100 Continue" before it sends a body. */
    void continueExpected(ClientConnection connection);

    /** More input came behind the request in flight than is kept, and was dropped. */
    void pipelinedInputDropped(ClientConnection connection);

    /** The client has sent what can't be accepted as a request. */
    void invalidRequest(ClientConnection connection, InvalidRequestException reason);

    /**
     * A request is complete. Returns whether it is rejected for overload; if so, the response is sent, and
     * the HTTP server is to read nothing of the request.
     */
    boolean rejectsForOverload(ClientConnection connection, RequestHead head);

    /** Input that was read already waits, and may be handed on once the other sockets have been polled. */
    void readOnNextTick(ClientConnection connection);
}
