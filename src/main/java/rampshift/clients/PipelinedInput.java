package rampshift.clients;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import rampshift.time.Moment;

/** The bytes that a client has sent after a complete request, each piece with its arrival time. */
final class PipelinedInput {
    /** The memory for the objects of a piece, beside its bytes. */
    private static final int PIECE_OVERHEAD_BYTES = 128;

    private final ArrayDeque<Piece> pieces = new ArrayDeque<>();
    private int heldBytes;

    /** A piece of input, and the earliest time at which it may have arrived. */
    private record Piece(ByteBuffer bytes, Moment arrivedAt) {}

    /** Adds a copy of the remaining bytes. */
    void add(ByteBuffer bytes, Moment arrivedAt) {
        if (bytes.hasRemaining()) {
            heldBytes += heldBytesOf(bytes.remaining());
            ByteBuffer copy = ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
            pieces.add(new Piece(copy, arrivedAt));
        }
    }

    /**
     * Passes the first piece to a reader, which reads up to the end of its request, and returns the arrival
     * time of the piece.
     */
    Moment readFirstPiece(RequestReader reader) throws InvalidRequestException {
        Piece piece = pieces.peek();
        reader.read(piece.bytes());
        if (!piece.bytes().hasRemaining()) {
            heldBytes -= heldBytesOf(piece.bytes().capacity());
            pieces.poll();
        }
        return piece.arrivedAt();
    }

    void clear() {
        pieces.clear();
        heldBytes = 0;
    }

    boolean isEmpty() {
        return pieces.isEmpty();
    }

    /** Returns the memory that the pieces take up, in bytes. */
    int heldBytes() {
        return heldBytes;
    }

    /**
     * Returns the memory that a piece of input would take up, in bytes. A client that sends single bytes
     * makes as many pieces of them.
     */
    static int heldBytesOf(int byteCount) {
        return byteCount + PIECE_OVERHEAD_BYTES;
    }
}
