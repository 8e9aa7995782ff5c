package rampshift.clients;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/**
 * Takes a client's call apart as it comes, by the letter of HTTP/1.1, and keeps its bytes until it is whole.
 *
 * Undertow's own reading comes after it and is not relied on: of a chunk whose size is no number it made the
 * end of the body, and such tasks went to workers, who never answered them.
 */
final class RequestReader {
    static final int LARGEST_HEAD = 16 * 1024;
    static final int LARGEST_BODY = 64 * 1024;
    /** Of the bytes on the connection: the rest is for the sizes of chunks. */
    static final int LARGEST = LARGEST_HEAD + 2 * LARGEST_BODY;
    static final int MOST_FIELDS = 64;
    private static final int LONGEST_SIZE_LINE = 256;
    private static final int LONGEST_METHOD = 10;
    private static final int MOST_EMPTY_LINES = 16;     // before a call
    private static final int FIRST = 512;
    private static final byte[] NONE = {};

    /** Why a call is turned down, and with which status. */
    static final class Unsound extends Exception {
        private static final long serialVersionUID = 1L;
        final int status;

        Unsound(int status, String why) {
            super(why, null, false, false);
            this.status = status;
        }
    }

    private enum At { START, FIELDS, FIXED, SIZE, CHUNK, CHUNK_END, TRAILER, WHOLE }

    private At at = At.START;
    private byte[] bytes = NONE;
    private int length;
    private int lineFrom;
    private int method;          // of the first line: letters so far, -1 after the space
    private int fields;
    private int emptyLines;
    private int body;
    private long left;
    private boolean post;
    private boolean oldVersion;
    private boolean coded;
    private long size = -1;
    private boolean awaited;

    /** Any byte of a call has come. */
    boolean begun() {
        return length > 0;
    }

    boolean whole() {
        return at == At.WHOLE;
    }

    /** How many bytes of a body are to be kept for it, once the head tells; 0 before. */
    int claim() {
        return at.compareTo(At.FIXED) < 0 ? 0 : coded ? LARGEST_BODY : (int) Math.max(0, size);
    }

    /** The client waits for a word before it sends the body; asked once. */
    boolean awaitsWord() {
        boolean waits = awaited && at != At.WHOLE && at.compareTo(At.FIXED) >= 0;
        awaited &= !waits;
        return waits;
    }

    /** The whole call, and a new one begins. */
    ByteBuffer handOver() {
        ByteBuffer whole = ByteBuffer.wrap(bytes, 0, length);
        at = At.START;
        bytes = NONE;
        length = 0;
        lineFrom = 0;
        method = 0;
        fields = 0;
        emptyLines = 0;
        body = 0;
        oldVersion = false;
        coded = false;
        size = -1;
        awaited = false;
        return whole;
    }

    /** Reads on, up to the end of the call at most. */
    void take(ByteBuffer in) throws Unsound {
        while (in.hasRemaining() && at != At.WHOLE) {
            if (at == At.FIXED || at == At.CHUNK) {
                int piece = (int) Math.min(left, in.remaining());
                room(piece);
                in.get(bytes, length, piece);
                length += piece;
                left -= piece;
                if (left == 0) {
                    at = at == At.FIXED ? At.WHOLE : At.CHUNK_END;
                    lineFrom = length;
                }
                continue;
            }
            byte b = in.get();
            room(1);
            bytes[length++] = b;
            if (at == At.START && b != '\r' && b != '\n') {
                plausible(b);
            }
            if (b == '\n') {
                lineEnds();
            } else if (at.compareTo(At.FIXED) < 0 && length > LARGEST_HEAD) {
                throw new Unsound(431, "a head over " + LARGEST_HEAD + " bytes");
            } else if (at.compareTo(At.FIXED) > 0 && length - lineFrom > LONGEST_SIZE_LINE) {
                throw new Unsound(400, "a chunk's size or trailer is too long");
            }
        }
    }

    private void room(int more) throws Unsound {
        if (length + more > LARGEST) {
            throw new Unsound(413, "a call over " + LARGEST + " bytes");
        }
        if (length + more > bytes.length) {
            int twice = Math.min(LARGEST, Math.max(FIRST, bytes.length * 2));
            bytes = Arrays.copyOf(bytes, Math.max(length + more, twice));
        }
    }

    /** What is no call is told by its first bytes, also where a body was longer than it said. */
    private void plausible(byte b) throws Unsound {
        if (method >= 0) {
            boolean letter = b >= 'A' && b <= 'Z' && method < LONGEST_METHOD;
            boolean ends = b == ' ' && method > 0;
            if (!letter && !ends) {
                throw new Unsound(400, "no call, or more bytes than its length said");
            }
            method = ends ? -1 : method + 1;
        }
    }

    private void lineEnds() throws Unsound {
        int end = length - 2;
        if (end < lineFrom || bytes[end] != '\r') {
            throw new Unsound(400, "a line that does not end in CR and LF");
        }
        for (int i = lineFrom; i < end; i++) {
            if (bytes[i] >= 0 && bytes[i] < ' ' && bytes[i] != '\t' || bytes[i] == 127) {
                throw new Unsound(400, "a control character in a line");
            }
        }
        String line = new String(bytes, lineFrom, end - lineFrom, StandardCharsets.ISO_8859_1);
        lineFrom = length;
        switch (at) {
            case START -> firstLine(line);
            case FIELDS -> {
                if (line.isEmpty()) {
                    headEnds();
                } else {
                    field(line);
                }
            }
            case SIZE -> size(line);
            case CHUNK_END -> {
                if (!line.isEmpty()) {
                    throw new Unsound(400, "a chunk longer than it said");
                }
                at = At.SIZE;
            }
            default -> {
                if (line.isEmpty()) {
                    at = At.WHOLE;
                } else if (++fields > MOST_FIELDS || line.indexOf(':') <= 0) {
                    throw new Unsound(400, "a bad trailer");
                }
            }
        }
    }

    private void firstLine(String line) throws Unsound {
        if (line.isEmpty()) {
            if (++emptyLines > MOST_EMPTY_LINES) {
                throw new Unsound(400, "over " + MOST_EMPTY_LINES + " empty lines before a call");
            }
            length = 0;
            lineFrom = 0;
            return;
        }
        int target = line.indexOf(' ') + 1;
        int version = line.indexOf(' ', target);
        if (method >= 0 || version < 0 || line.charAt(target) != '/'
                || line.indexOf('\t') >= 0 || line.chars().anyMatch(c -> c > 126)) {
            throw new Unsound(400, "no line of method, path and version");
        }
        String told = line.substring(version + 1);
        oldVersion = told.equals("HTTP/1.0");
        if (!oldVersion && !told.equals("HTTP/1.1")) {
            throw new Unsound(told.matches("HTTP/[0-9.]+") ? 505 : 400, "a version other than HTTP/1.1");
        }
        post = line.startsWith("POST ");
        at = At.FIELDS;
    }

    private void field(String line) throws Unsound {
        int colon = line.indexOf(':');
        if (colon <= 0 || !line.chars().limit(colon).allMatch(RequestReader::inName)) {
            throw new Unsound(400, "a header field without a sound name");
        }
        if (++fields > MOST_FIELDS) {
            throw new Unsound(431, "over " + MOST_FIELDS + " header fields");
        }
        String value = line.substring(colon + 1).trim();
        switch (line.substring(0, colon).toLowerCase(Locale.ROOT)) {
            case "content-length" -> {
                if (size >= 0 || value.isEmpty() || value.length() > 18
                        || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
                    throw new Unsound(400, "a length that is no number, or two of them");
                }
                size = Long.parseLong(value);
            }
            case "transfer-encoding" -> {
                if (coded || oldVersion) {
                    throw new Unsound(400, "more than one Transfer-Encoding, or one in HTTP/1.0");
                }
                if (!value.equalsIgnoreCase("chunked")) {
                    throw new Unsound(501, "a Transfer-Encoding other than chunked");
                }
                coded = true;
            }
            case "expect" -> {
                if (!value.equalsIgnoreCase("100-continue")) {
                    throw new Unsound(417, "an expectation that is not known");
                }
                awaited = !oldVersion;
            }
            default -> {
            }
        }
    }

    private static boolean inName(int c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
                || "!#$%&'*+-.^_`|~".indexOf(c) >= 0;
    }

    private void headEnds() throws Unsound {
        if (coded && size >= 0) {
            // One reader goes by the one, the next by the other: a second call may hide in such a body.
            throw new Unsound(400, "both Content-Length and Transfer-Encoding");
        }
        if (size > LARGEST_BODY) {
            throw new Unsound(413, "a body over " + LARGEST_BODY + " bytes");
        }
        if (post && !coded && size < 0) {
            throw new Unsound(411, "a POST that does not say how long it is");
        }
        left = size;
        at = coded ? At.SIZE : size > 0 ? At.FIXED : At.WHOLE;
    }

    private void size(String line) throws Unsound {
        int end = 0;
        while (end < line.length() && Character.digit(line.charAt(end), 16) >= 0 && line.charAt(end) < 128) {
            end++;
        }
        if (end == 0 || end > 8 || end < line.length() && ";\t ".indexOf(line.charAt(end)) < 0) {
            throw new Unsound(400, "a chunk's size that is no number");
        }
        left = Long.parseLong(line.substring(0, end), 16);
        if (body + left > LARGEST_BODY) {
            throw new Unsound(413, "a body over " + LARGEST_BODY + " bytes");
        }
        body += left;
        at = left == 0 ? At.TRAILER : At.CHUNK;
    }
}
