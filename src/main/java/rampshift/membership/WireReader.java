package rampshift.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Reads the fields of a message and checks the bounds of each before it is used. Reading past the end of the
 * message throws {@link BufferUnderflowException}.
 */
final class WireReader {
    private static final byte ASCII_DELETE = 127;
    private static final int UNSIGNED_BYTE = 0xff;
    private static final int UNSIGNED_SHORT = 0xffff;

    private final ByteBuffer buffer;

    WireReader(ByteBuffer buffer) {
        this.buffer = buffer;
    }

    short readShort() {
        return buffer.getShort();
    }

    byte readByte() {
        return buffer.get();
    }

    int readInt() {
        return buffer.getInt();
    }

    long readLong() {
        return buffer.getLong();
    }

    boolean hasRemaining() {
        return buffer.hasRemaining();
    }

    /** Reads a number and rejects a negative one. */
    long readNonNegativeLong() throws MalformedMessageException {
        long value = buffer.getLong();
        if (value < 0) {
            throw MalformedMessageException.malformed("negative number");
        }
        return value;
    }

    /** Reads the number of items that follow, each of which takes at least {@code minItemBytes}. */
    int readCount(int maxCount, int minItemBytes) throws MalformedMessageException {
        int count = buffer.getShort() & UNSIGNED_SHORT;
        if (count > maxCount || (long) count * minItemBytes > buffer.remaining()) {
            throw MalformedMessageException.malformed("count out of bounds");
        }
        return count;
    }

    /** Reads a code and returns the constant that has it. */
    <E extends WireCoded> E readCoded(E[] constants) throws MalformedMessageException {
        byte code = buffer.get();
        for (E constant : constants) {
            if (constant.wireCode() == code) {
                return constant;
            }
        }
        throw MalformedMessageException.malformed("unknown code");
    }

    /** Reads printable ASCII text without blanks, of at most {@link Codec#MAX_TEXT_BYTES} bytes. */
    String readText() throws MalformedMessageException {
        int length = buffer.get() & UNSIGNED_BYTE;
        if (length > Codec.MAX_TEXT_BYTES || length > buffer.remaining()) {
            throw MalformedMessageException.malformed("text length out of bounds");
        }
        byte[] bytes = new byte[length];
        buffer.get(bytes);
        for (byte character : bytes) {
            if (character <= ' ' || character == ASCII_DELETE) {
                throw MalformedMessageException.malformed("text that is not printable ASCII");
            }
        }
        return new String(bytes, StandardCharsets.US_ASCII);
    }
}
