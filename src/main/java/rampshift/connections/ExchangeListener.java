package rampshift.connections;

/**
 * What a connection tells of one exchange, all on the I/O thread. Exactly one of {@code ended} and
 * {@code broken} comes last, unless the connection is closed from this side first: then nothing more.
 */
public interface ExchangeListener {
    /** The first byte is about to be written; false holds it back, and the connection stays unused. */
    default boolean mayWriteFirstByte() {
        return true;
    }

    /**
     * The last byte, which was held back, is about to be written; false: it is not, and the connection was
     * given back.
     */
    default boolean mayWriteLastByte() {
        return true;
    }

    /** The last byte was written: from now on the other side may have got it all. */
    default void onRequestWritten() {}

    default void onHead(ResponseHead head) {}

    /** A piece of the body; the array is only lent. */
    default void onBody(byte[] bytes, int from, int length) {}

    /** The whole answer has come. */
    void onComplete();

    /** No connection, or it broke before the whole answer had come. */
    void onFailure(String why);
}
