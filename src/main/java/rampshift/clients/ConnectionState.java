package rampshift.clients;

/**
 * The states of a client connection, in the order in which connections are closed to stay within the
 * limit of connections.
 */
enum ConnectionState {
    /** The client has closed its side, and the dispatcher is about to close the connection. */
    PEER_CLOSED,
    /** The last response or a rejection was written, and the client may still be reading it. */
    CLOSING,
    /** The client has received a response, but has never sent a task. */
    IDLE_WITHOUT_TASK,
    /** No byte has been received yet. */
    NEW,
    /** The client has sent tasks before, and none is in flight. */
    IDLE,
    /** A request has been received in part. */
    RECEIVING,
    /** A request is in flight or its response is not fully written; never closed to make room. */
    BUSY
}
