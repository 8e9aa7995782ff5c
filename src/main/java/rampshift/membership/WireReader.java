package rampshift.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Reads the fields of a message and checks the bounds of each before anything is made of it. All methods
 * throw {@link BufferUnderflowException} where the message is too short.
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

    /** A number that must not be below 0. */
    long readNonNegativeLong() throws MalformedMessageException {
        long value = buffer.getLong();
        if (value < 0) {
            throw MalformedMessageException.malformed("a number below 0");
        }
        return value;
    }

    /** A count of items, each of which takes {@code minItemBytes} at least. */
    int readCount(int maxCount, int minItemBytes) throws MalformedMessageException {
        int count = buffer.getShort() & UNSIGNED_SHORT;
        if (count > maxCount || (long) count * minItemBytes > buffer.remaining()) {
            throw MalformedMessageException.malformed("a count out of bounds");
        }
        return count;
    }

    /** The one of the constants whose code comes next. */
    <E extends WireCoded> E readCoded(E[] constants) throws MalformedMessageException {
        byte code = buffer.get();
        for (E constant : constants) {
            if (constant.wireCode() == code) {
                return constant;
            }
        }
        throw MalformedMessageException.malformed("an unknown code");
    }

    /** Text of at most {@link Codec#MAX_TEXT_BYTES} bytes without blanks and control characters. */
    String readText() throws MalformedMessageException {
        int length = buffer.get() & UNSIGNED_BYTE;
        if (length > Codec.MAX_TEXT_BYTES || length > buffer.remaining()) {
            throw MalformedMessageException.malformed("text out of bounds");
        }
        byte[] bytes = new byte[length];
        buffer.get(bytes);
        for (byte character : bytes) {
            if (character <= ' ' || character == ASCII_DELETE) {
                throw MalformedMessageException.malformed("text with blanks or control characters");
            }
        }
        return new String(bytes, StandardCharsets.US_ASCII);
    }
}
