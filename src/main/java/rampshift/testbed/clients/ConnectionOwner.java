package rampshift.testbed.clients;

/**
 * Manages connections between exchanges. Used on the I/O thread only.
 */
interface ConnectionOwner {
    /** Removes and returns an idle connection; null if there is none and one must be opened. */
    DispatcherConnection poll(Dispatcher dispatcher);

    /**
     * Handles the end of an exchange with a complete response.
     *
     * @param connection the connection of the exchange
     * @param persistent whether the dispatcher leaves the connection open
     */
    void onExchangeCompleted(DispatcherConnection connection, boolean persistent);

    /** Handles a connection that the dispatcher has closed or reset. */
    void onClosedByPeer(DispatcherConnection connection);

    /** Handles a connection that the client closes. */
    void onClosedByClient(DispatcherConnection connection);
}
