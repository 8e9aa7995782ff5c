package rampshift.connections;

/**
 * Receives the events of one request and its response, all on the I/O thread. Exactly one of {@link
 * #onComplete} and {@link #onFailure} is called last, unless this side closes the connection first: then
 * no method is called any more.
 */
public interface ExchangeListener {
    /**
     * Called just before the first byte is written.
     *
     * @return false to withhold the request; the connection then stays unused
     */
    default boolean mayWriteFirstByte() {
        return true;
    }

    /**
     * Called just before a delayed last byte is written.
     *
     * @return false to withhold the byte; the listener must have closed the connection by then
     */
    default boolean mayWriteLastByte() {
        return true;
    }

    /** Called when the last byte is written: from now on the peer may have received the whole request. */
    default void onRequestWritten() {}

    /**
     * Called when the status line and the header fields of the final response have arrived.
     *
     * @param head the status and the header fields
     */
    default void onHead(ResponseHead head) {}

    /**
     * Called when a part of the response body has arrived.
     *
     * @param bytes an array that is valid only during this call
     * @param offset the index of the first byte of the part
     * @param length the number of bytes of the part
     */
    default void onBody(byte[] bytes, int offset, int length) {}

    /**
     * Called after each piece of an incomplete response was parsed, with the memory that the connection holds
     * of it; what the listener itself has kept of the body is not included.
     *
     * @param bytes the memory in bytes: an unfinished line, or the header fields before {@link #onHead}
     */
    default void onMemoryHeld(int bytes) {}

    /** Called when the whole response has arrived. */
    void onComplete();

    /**
     * Called if the connection fails, or the peer violates the protocol, before the whole response has
     * arrived.
     *
     * @param reason the cause, for the log
     */
    void onFailure(String reason);
}
