package rampshift.testbed.clients;

/**
 * Decides what becomes of connections between exchanges. It is used on the I/O thread alone.
 */
interface ConnectionOwner {
    /** Takes an open connection that awaits no response; null if there is none and one must be opened. */
    DispatcherConnection poll(Dispatcher dispatcher);

    /**
     * A response is complete.
     *
     * @param connection the connection on which it came
     * @param persistent whether the dispatcher leaves the connection open
     */
    void onExchangeCompleted(DispatcherConnection connection, boolean persistent);

    /** The dispatcher has closed or reset the connection. */
    void onClosedByPeer(DispatcherConnection connection);

    /** The client closes the connection. */
    void onClosedByClient(DispatcherConnection connection);
}
