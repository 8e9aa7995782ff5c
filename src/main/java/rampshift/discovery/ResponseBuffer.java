package rampshift.discovery;

import java.util.Arrays;

/** The body of one response, collected up to a bound. */
final class ResponseBuffer {
    /**
     * 1,024 workers, where an entry with a name of 200 characters and all other fields long, indented, is
     * under 2 KB.
     */
    static final int MAX_BYTES = 1024 * 2048;
    private static final int INITIAL_BYTES = 4096;

    private byte[] bytes = new byte[INITIAL_BYTES];
    private int length;

    /**
     * Appends a piece; false, and nothing is appended, where the body would be longer than
     * {@link #MAX_BYTES}.
     */
    boolean append(byte[] piece, int offset, int count) {
        int needed = length + count;
        if (needed > MAX_BYTES) {
            return false;
        }
        if (needed > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(needed, bytes.length * 2));
        }
        System.arraycopy(piece, offset, bytes, length, count);
        length = needed;
        return true;
    }

    /** The list that the body holds; throws InvalidInputException where it holds none. */
    EndpointList parse() {
        return EndpointListParser.parse(bytes, length);
    }
}
