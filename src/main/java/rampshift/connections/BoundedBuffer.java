package rampshift.connections;

import java.nio.charset.Charset;
import java.util.Arrays;

/**
 * A byte array that grows as needed, up to a fixed limit, and is allocated while it holds bytes. Not
 * thread-safe.
 */
public final class BoundedBuffer {
    private static final byte[] EMPTY = {};

    private final int initialCapacity;
    private final int limit;
    private byte[] bytes = EMPTY;
    private int length;

    /**
     * Creates an empty buffer.
     *
     * @param initialCapacity the capacity from the first byte on, in bytes
     * @param limit the maximum number of bytes that the buffer may hold
     */
    public BoundedBuffer(int initialCapacity, int limit) {
        this.initialCapacity = initialCapacity;
        this.limit = limit;
    }

    /**
     * Appends one byte.
     *
     * @return false if the buffer is full, so that the byte was not appended
     */
    public boolean append(byte value) {
        if (length == limit) {
            return false;
        }
        ensureCapacity(length + 1);
        bytes[length++] = value;
        return true;
    }

    /** Appends as many of the given bytes as the limit permits, and drops the rest. */
    public void appendTruncated(byte[] source, int offset, int count) {
        int accepted = Math.min(count, limit - length);
        ensureCapacity(length + accepted);
        System.arraycopy(source, offset, bytes, length, accepted);
        length += accepted;
    }

    private void ensureCapacity(int needed) {
        if (needed > bytes.length) {
            int enlarged = Math.max(initialCapacity, bytes.length * 2);
            bytes = Arrays.copyOf(bytes, Math.min(limit, Math.max(needed, enlarged)));
        }
    }

    /** Returns the backing array, whose first {@link #length} bytes are valid until the next append. */
    public byte[] array() {
        return bytes;
    }

    /** Returns the number of bytes in the buffer. */
    public int length() {
        return length;
    }

    /** Returns the memory that the buffer holds, in bytes; 0 if it is empty. */
    public int heldBytes() {
        return length == 0 ? 0 : bytes.length;
    }

    /** Returns whether the last byte in the buffer has this value; false for an empty buffer. */
    public boolean endsWith(byte value) {
        return length > 0 && bytes[length - 1] == value;
    }

    /** Removes the last byte. */
    public void removeLast() {
        length--;
    }

    /** Removes all bytes, and releases the capacity beyond the initial one. */
    public void clear() {
        length = 0;
        if (bytes.length > initialCapacity) {
            bytes = EMPTY;
        }
    }

    /** Decodes the bytes in the buffer. */
    public String text(Charset charset) {
        return new String(bytes, 0, length, charset);
    }
}
