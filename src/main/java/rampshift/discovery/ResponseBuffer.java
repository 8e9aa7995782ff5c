package rampshift.discovery;

import java.util.Arrays;

/** Collects the body of one response, up to a size limit. */
final class ResponseBuffer {
    /**
     * Maximum size of the body: 1,024 workers of 2 KB each, which is more than an indented entry with a name
     * of 200 characters and long values in all other fields.
     */
    static final int MAX_BYTES = 1024 * 2048;
    private static final int INITIAL_BYTES = 4096;

    private byte[] bytes = new byte[INITIAL_BYTES];
    private int length;

    /**
     * Appends a piece. Returns false and appends nothing if the body would be larger than {@link #MAX_BYTES}.
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

    /** Parses the body as an endpoint list; throws InvalidInputException if it is not one. */
    EndpointList parse() {
        return EndpointListParser.parse(bytes, length);
    }
}
