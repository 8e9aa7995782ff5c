package rampshift.connections;

/**
 * Receives the events of one request and its response, all on the I/O thread. Exactly one of {@link
 * #onComplete} and {@link #onFailure} comes last, unless this side closes the connection first: then
 * nothing more comes.
 */
public interface ExchangeListener {
    /**
     * Asked just before the first byte is written.
     *
     * @return false to hold the request back; the connection then stays unused
     */
    default boolean mayWriteFirstByte() {
        return true;
    }

    /**
     * Asked just before a delayed last byte is written.
     *
     * @return false to hold the byte back; the listener must have closed the connection by then
     */
    default boolean mayWriteLastByte() {
        return true;
    }

    /** The last byte of the request was written: from now on the peer may have received all of it. */
    default void onRequestWritten() {}

    /**
     * The status line and the header fields of the final response have arrived.
     *
     * @param head the status and the header fields
     */
    default void onHead(ResponseHead head) {}

    /**
     * A part of the response body has arrived.
     *
     * @param bytes an array that is valid only during this call
     * @param offset the index of the first byte of the part
     * @param length the number of bytes of the part
     */
    default void onBody(byte[] bytes, int offset, int length) {}

    /** The whole response has arrived. */
    void onComplete();

    /**
     * No connection could be made, or it failed before the whole response had arrived.
     *
     * @param reason what went wrong, for the log
     */
    void onFailure(String reason);
}
