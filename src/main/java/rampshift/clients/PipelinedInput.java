package rampshift.clients;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import rampshift.time.Moment;

/** The bytes that a client has sent behind a complete request, each piece with the time of its arrival. */
final class PipelinedInput {
    private final ArrayDeque<Piece> pieces = new ArrayDeque<>();
    private int byteCount;

    /** Bytes, and the earliest time at which they may have arrived. */
    private record Piece(ByteBuffer bytes, Moment arrivedAt) {}

    /** Keeps a copy of the remaining bytes. */
    void add(ByteBuffer bytes, Moment arrivedAt) {
        if (bytes.hasRemaining()) {
            byteCount += bytes.remaining();
            ByteBuffer copy = ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
            pieces.add(new Piece(copy, arrivedAt));
        }
    }

    /**
     * Lets a reader take the first piece, up to the end of its request, and returns when that piece arrived.
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
