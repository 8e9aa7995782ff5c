package rampshift.clients;

/**
 * The states of a client's connection, in the order in which connections are closed to make room for others.
 */
enum ConnectionState {
    /** The client has closed its side, and the connection is about to be closed here too. */
    PEER_CLOSED,
    /** The last response was written or the client was rejected; it may still be reading. */
    CLOSING,
    /** The client has had a response, but has never sent a task. */
    IDLE_WITHOUT_TASK,
    /** No byte has been received yet. */
    NEW,
    /** The client has sent tasks before, and none is in flight. */
    IDLE,
    /** A request has been received in part. */
    RECEIVING,
    /** A request is in flight and its response is not fully written: never closed to make room. */
    BUSY
}
