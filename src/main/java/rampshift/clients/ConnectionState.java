package rampshift.clients;

/** How a client's connection stands, in the order in which they give way to others. */
enum ConnectionState {
    /** It has gone, and its connection is about to be closed. */
    GONE,
    /** It has its last answer, or was turned away, and may still be reading that. */
    ENDING,
    /** It has had an answer, but handed in no task. */
    ASKED,
    /** It has said nothing. */
    SILENT,
    /** It has handed in tasks, and none is in hand. */
    IDLE,
    /** It is in the midst of a call. */
    SENDING,
    /** A call is in hand, and its answer not wholly written: it does not give way. */
    BUSY
}
