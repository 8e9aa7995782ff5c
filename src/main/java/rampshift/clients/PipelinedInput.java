package rampshift.clients;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import rampshift.time.Moment;

/** The bytes that a client has sent after a complete request, each piece with its arrival time. */
final class PipelinedInput {
    private final ArrayDeque<Piece> pieces = new ArrayDeque<>();
    private int byteCount;

    /** A piece of input, and the earliest time at which it may have arrived. */
    private record Piece(ByteBuffer bytes, Moment arrivedAt) {}

    /** Adds a copy of the remaining bytes. */
    void add(ByteBuffer bytes, Moment arrivedAt) {
        if (bytes.hasRemaining()) {
            byteCount += bytes.remaining();
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
        int before = piece.bytes().remaining();
        reader.read(piece.bytes());
        byteCount -= before - piece.bytes().remaining();
        if (!piece.bytes().hasRemaining()) {
            pieces.poll();
        }
        return piece.arrivedAt();
    }

    void clear() {
        pieces.clear();
        byteCount = 0;
    }

    boolean isEmpty() {
        return pieces.isEmpty();
    }

    int byteCount() {
        return byteCount;
    }
}
