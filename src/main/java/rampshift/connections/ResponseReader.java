package rampshift.connections;

import io.undertow.util.StatusCodes;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * An incremental parser of HTTP/1.1 responses. One instance parses the successive responses of one
 * connection.
 */
final class ResponseReader {
    static final int MAX_LINE_BYTES = 8192;
    static final int MAX_HEADER_FIELDS = 64;
    /** Maximum length of the status line and the header fields together. */
    static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int INITIAL_LINE_BYTES = 256;
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final int STATUS_START = VERSION_PREFIX.length() + 2;
    private static final int STATUS_END = STATUS_START + 3;
    private static final int MIN_STATUS = 100;
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_LENGTH_DIGITS = 15;
    private static final int DECIMAL = 10;
    private static final int HEXADECIMAL = 16;

    /** The part of the response that the next byte belongs to. */
    private enum State {
        STATUS_LINE, HEADER_FIELDS,
        /** A body whose length is in the head. */
        FIXED_BODY,
        /** The line with the length of a chunk, the chunk, and the line feed after it. */
        CHUNK_SIZE, CHUNK_DATA, CHUNK_END,
        /** The fields after the last chunk. */
        TRAILER,
        /** A body that ends with the connection. */
        BODY_UNTIL_CLOSE,
        /** No part: the response is complete. */
        COMPLETE
    }

    private final BoundedBuffer line = new BoundedBuffer(INITIAL_LINE_BYTES, MAX_LINE_BYTES);
    private State state = State.STATUS_LINE;
    /** The head while it is being read; null before and after that. */
    private ResponseHead head;
    private boolean persistent;
    /** The number of header fields, trailer fields and interim responses so far. */
    private int fieldCount;
    /** The number of bytes of the fixed-length body, or of the current chunk, that have yet to arrive. */
    private long remainingBytes;
    private boolean stopped;

    /** Makes {@link #read} return at once, even if not all of its bytes are consumed. */
    void stop() {
        stopped = true;
    }

    /** Prepares for the next response. */
    void begin() {
        stopped = false;
        state = State.STATUS_LINE;
        head = null;
        persistent = false;
        fieldCount = 0;
        line.clear();
    }

    /** Returns whether the whole response has been read. */
    boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** Returns whether the response is complete and the peer leaves the connection open after it. */
    boolean isPersistent() {
        return state == State.COMPLETE && persistent;
    }

    /** Returns the memory that is held of an incomplete response, in bytes. */
    int heldBytes() {
        return line.heldBytes() + (head == null ? 0 : head.heldBytes());
    }

    /** Returns whether the response is complete if the peer closes the connection now. */
    boolean isCompleteAtClose() {
        return state == State.BODY_UNTIL_CLOSE;
    }

    /**
     * Parses the next bytes, and passes the head and the parts of the body to the listener.
     *
     * @param bytes the array that holds the bytes
     * @param from the index of the first byte
     * @param to the index after the last byte
     * @return the number of bytes consumed; fewer than given only at the end of the response or after
     *     {@link #stop}
     * @throws MalformedResponseException if the bytes are not a valid response
     */
    int read(byte[] bytes, int from, int to, ExchangeListener listener) throws MalformedResponseException {
        int position = from;
        while (position < to && state != State.COMPLETE && !stopped) {
            switch (state) {
                case FIXED_BODY, CHUNK_DATA, BODY_UNTIL_CLOSE ->
                    position += readBody(bytes, position, to - position, listener);
                default -> readLineByte(bytes[position++], listener);
            }
        }
        return position - from;
    }

    private int readBody(byte[] bytes, int offset, int available, ExchangeListener listener) {
        if (state == State.BODY_UNTIL_CLOSE) {
            listener.onBody(bytes, offset, available);
            return available;
        }
        int count = (int) Math.min(remainingBytes, available);
        remainingBytes -= count;
        if (remainingBytes == 0) {
            state = state == State.FIXED_BODY ? State.COMPLETE : State.CHUNK_END;
        }
        listener.onBody(bytes, offset, count);
        return count;
    }

    private void readLineByte(byte value, ExchangeListener listener) throws MalformedResponseException {
        if (value == '\n') {
            if (line.endsWith((byte) '\r')) {
                line.removeLast();
            }
            String text = line.text(StandardCharsets.ISO_8859_1);
            line.clear();
            readLine(text, listener);
        } else if (!line.append(value)) {
            throw new MalformedResponseException("a line over " + MAX_LINE_BYTES + " bytes");
        }
    }

    private void readLine(String text, ExchangeListener listener) throws MalformedResponseException {
        switch (state) {
            case STATUS_LINE -> readStatusLine(text);
            case HEADER_FIELDS -> {
                if (text.isEmpty()) {
                    endHead(listener);
                } else {
                    readHeaderField(text);
                }
            }
            case CHUNK_SIZE -> readChunkSize(text);
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new MalformedResponseException("a chunk longer than its size");
                }
                state = State.CHUNK_SIZE;
            }
            case TRAILER -> {
                if (text.isEmpty()) {
                    state = State.COMPLETE;
                } else {
                    countField("header fields");
                }
            }
            default -> throw new IllegalStateException("no line is read in state " + state);
        }
    }

    private void readStatusLine(String text) throws MalformedResponseException {
        boolean valid = text.length() >= STATUS_END && text.startsWith(VERSION_PREFIX)
                && text.charAt(STATUS_START - 1) == ' ';
        int status = valid ? parseStatus(text) : 0;
        if (status < MIN_STATUS) {
            throw new MalformedResponseException("no HTTP/1.1 status line");
        }
        head = new ResponseHead(text.charAt(VERSION_PREFIX.length()) - '0', status);
        state = State.HEADER_FIELDS;
    }

    /** Returns the status code of a status line; 0 if it is not a number. */
    private static int parseStatus(String statusLine) {
        try {
            return Integer.parseInt(statusLine, STATUS_START, STATUS_END, DECIMAL);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private void readHeaderField(String text) throws MalformedResponseException {
        int colon = text.indexOf(':');
        if (colon <= 0 || text.charAt(0) == ' ' || text.charAt(0) == '\t') {
            throw new MalformedResponseException("a header field without a name");
        }
        countField("header fields");
        head.add(text.substring(0, colon).trim(), text.substring(colon + 1).trim());
        if (head.length() > MAX_HEAD_BYTES) {
            throw new MalformedResponseException("a head over " + MAX_HEAD_BYTES + " bytes");
        }
    }

    private void countField(String countedItems) throws MalformedResponseException {
        fieldCount++;
        if (fieldCount > MAX_HEADER_FIELDS) {
            throw new MalformedResponseException("over " + MAX_HEADER_FIELDS + " " + countedItems);
        }
    }

    private void endHead(ExchangeListener listener) throws MalformedResponseException {
        if (head.status() < MIN_FINAL_STATUS) {
            endInterimResponse();
            return;
        }
        state = bodyState();
        persistent = keepsConnectionOpen(head);
        ResponseHead complete = head;
        head = null;
        listener.onHead(complete);
    }

    private static boolean keepsConnectionOpen(ResponseHead head) {
        String connection = head.field("Connection");
        boolean closes = connection != null && connection.equalsIgnoreCase("close");
        return head.minorVersion() >= 1 && !closes;
    }

    private void endInterimResponse() throws MalformedResponseException {
        if (head.status() == StatusCodes.SWITCHING_PROTOCOLS) {
            throw new MalformedResponseException("a protocol switch that was not requested");
        }
        countField("interim responses and header fields");
        state = State.STATUS_LINE;
        head = null;
    }

    /** Returns the state after the head, which depends on how the end of the body is marked. */
    private State bodyState() throws MalformedResponseException {
        String transferEncoding = head.field("Transfer-Encoding");
        String contentLength = head.field("Content-Length");
        if (head.status() == StatusCodes.NO_CONTENT || head.status() == StatusCodes.NOT_MODIFIED) {
            return State.COMPLETE;
        }
        if (transferEncoding != null) {
            if (!transferEncoding.toLowerCase(Locale.ROOT).equals("chunked") || contentLength != null) {
                throw new MalformedResponseException("an unknown transfer encoding or two body lengths");
            }
            return State.CHUNK_SIZE;
        }
        if (contentLength == null) {
            return State.BODY_UNTIL_CLOSE;
        }
        if (head.fieldCount("Content-Length") > 1) {
            throw new MalformedResponseException("two body lengths");
        }
        remainingBytes = parseLength(contentLength, DECIMAL);
        return remainingBytes == 0 ? State.COMPLETE : State.FIXED_BODY;
    }

    private void readChunkSize(String text) throws MalformedResponseException {
        int extension = text.indexOf(';');
        String size = extension < 0 ? text : text.substring(0, extension);
        remainingBytes = parseLength(size.trim(), HEXADECIMAL);
        state = remainingBytes == 0 ? State.TRAILER : State.CHUNK_DATA;
    }

    private static long parseLength(String text, int radix) throws MalformedResponseException {
        // Long.parseLong would also accept a sign.
        boolean startsWithDigit = !text.isEmpty() && Character.digit(text.charAt(0), radix) >= 0;
        if (startsWithDigit && text.length() <= MAX_LENGTH_DIGITS) {
            try {
                return Long.parseLong(text, radix);
            } catch (NumberFormatException e) {
                // Reported below, as for any other invalid length.
            }
        }
        throw new MalformedResponseException("a length that is not a valid number");
    }
}
