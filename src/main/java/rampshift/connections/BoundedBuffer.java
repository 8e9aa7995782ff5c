package rampshift.connections;

import java.nio.charset.Charset;
import java.util.Arrays;

/** A byte array that grows as needed, up to a fixed limit. Not thread-safe. */
public final class BoundedBuffer {
    private final int limit;
    private byte[] bytes;
    private int length;

    /**
     * Creates an empty buffer.
     *
     * @param initialCapacity the number of bytes to allocate at first
     * @param limit the largest number of bytes that the buffer may hold
     */
    public BoundedBuffer(int initialCapacity, int limit) {
        this.limit = limit;
        bytes = new byte[initialCapacity];
    }

    /**
     * Appends one byte.
     *
     * @return false if the buffer was full, and the byte was not appended
     */
    public boolean append(byte value) {
        if (length == limit) {
            return false;
        }
        ensureCapacity(length + 1);
        bytes[length++] = value;
        return true;
    }

    /** Appends as many of the given bytes as the limit leaves room for, and drops the rest. */
    public void appendTruncated(byte[] source, int offset, int count) {
        int accepted = Math.min(count, limit - length);
        ensureCapacity(length + accepted);
        System.arraycopy(source, offset, bytes, length, accepted);
        length += accepted;
    }

    private void ensureCapacity(int needed) {
        if (needed > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.min(limit, Math.max(needed, bytes.length * 2)));
        }
    }

    /** The backing array, of which the first {@link #length} bytes are valid until the next append. */
    public byte[] array() {
        return bytes;
    }

    /** The number of bytes that the buffer holds. */
    public int length() {
        return length;
    }

    /** Whether the last byte that was appended has this value; false for an empty buffer. */
    public boolean endsWith(byte value) {
        return length > 0 && bytes[length - 1] == value;
    }

    /** Removes the last byte. */
    public void removeLast() {
        length--;
    }

    /** Removes all bytes and keeps the capacity. */
    public void clear() {
        length = 0;
    }

    /** Decodes the bytes that the buffer holds. */
    public String text(Charset charset) {
        return new String(bytes, 0, length, charset);
    }
}
