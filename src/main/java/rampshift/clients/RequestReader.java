package rampshift.clients;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Parses one request at a time strictly by HTTP/1.1, as its bytes arrive, and buffers them until it is
 * complete.
 *
 * <p>Undertow parses the request again, but its checks are not sufficient: it treats a chunk size that is not
 * a number as the end of the body. Such tasks were forwarded to workers, which never responded.
 */
final class RequestReader {
    static final int MAX_HEAD_BYTES = 16 * 1024;
    static final int MAX_BODY_BYTES = 64 * 1024;
    /** Maximum bytes of one request on the connection, which include the size lines of a chunked body. */
    static final int MAX_REQUEST_BYTES = MAX_HEAD_BYTES + 2 * MAX_BODY_BYTES;
    private static final int MAX_CHUNK_LINE_BYTES = 256;
    private static final int MAX_CHUNK_SIZE_DIGITS = 8;
    private static final int MAX_METHOD_LETTERS = 10;
    private static final int MAX_EMPTY_LINES = 16;
    private static final int INITIAL_BUFFER_BYTES = 512;
    private static final int FIRST_PRINTABLE = ' ';
    private static final int DELETE = 127;
    private static final int HEXADECIMAL = 16;
    private static final byte[] EMPTY = {};

    /** The part of the request that the next byte belongs to. */
    private enum Part {
        REQUEST_LINE, FIELDS, FIXED_BODY, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILER, COMPLETE;

        boolean isHead() {
            return this == REQUEST_LINE || this == FIELDS;
        }

        boolean isBodyData() {
            return this == FIXED_BODY || this == CHUNK_DATA;
        }
    }

    private Part part = Part.REQUEST_LINE;
    private RequestHead head = new RequestHead();
    private byte[] bytes = EMPTY;
    private int length;
    /** The length of the request with its body, as far as its head tells; 0 until the head is complete. */
    private int expectedLength;
    private int lineStart;
    private int methodLetters;
    private boolean methodComplete;
    private int emptyLines;
    private long chunkedBodyBytes;
    /** Bytes that are still to be read of a body with a fixed length, or of the current chunk. */
    private long remainingBytes;

    /** Returns whether any byte of a request has been read. */
    boolean hasStarted() {
        return length > 0;
    }

    /** Returns whether a complete request has been read. */
    boolean isComplete() {
        return part == Part.COMPLETE;
    }

    /** Returns whether the head of the request is complete. */
    boolean isHeadComplete() {
        return !part.isHead();
    }

    /**
     * Returns the memory to reserve for the request, in bytes: what it takes up now and, once the head is
     * complete, what the body will take up.
     */
    int bytesToReserve() {
        return Math.max(bytes.length, expectedLength) + head.heldBytes();
    }

    /**
     * Returns whether the client expects "100 Continue" before it sends the body; true at most once per
     * request.
     */
    boolean takeContinueExpected() {
        return !part.isHead() && part != Part.COMPLETE && head.takeContinueExpected();
    }

    /** Returns the head of the request that is being read. */
    RequestHead head() {
        return head;
    }

    /** Returns the bytes of the request, and resets the reader for the next one. */
    ByteBuffer takeRequest() {
        ByteBuffer request = ByteBuffer.wrap(bytes, 0, length);
        part = Part.REQUEST_LINE;
        head = new RequestHead();
        bytes = EMPTY;
        length = 0;
        expectedLength = 0;
        lineStart = 0;
        methodLetters = 0;
        methodComplete = false;
        emptyLines = 0;
        chunkedBodyBytes = 0;
        return request;
    }

    /**
     * Reads input, at most up to the end of the request.
     *
     * @throws InvalidRequestException if the bytes are not a valid request, or exceed a limit
     */
    void read(ByteBuffer in) throws InvalidRequestException {
        while (in.hasRemaining() && part != Part.COMPLETE) {
            if (part.isBodyData()) {
                readBodyData(in);
            } else {
                readLineByte(in.get());
            }
        }
    }

    private void readBodyData(ByteBuffer in) throws InvalidRequestException {
        int count = (int) Math.min(remainingBytes, in.remaining());
        ensureCapacity(count);
        in.get(bytes, length, count);
        length += count;
        remainingBytes -= count;
        if (remainingBytes == 0) {
            part = part == Part.FIXED_BODY ? Part.COMPLETE : Part.CHUNK_END;
            lineStart = length;
        }
    }

    private void readLineByte(byte next) throws InvalidRequestException {
        ensureCapacity(1);
        bytes[length++] = next;
        if (part == Part.REQUEST_LINE && next != '\r' && next != '\n') {
            checkMethod(next);
        }
        if (next == '\n') {
            endLine();
        } else if (part.isHead() && length > MAX_HEAD_BYTES) {
            throw new InvalidRequestException(431,
                    "request head is larger than " + MAX_HEAD_BYTES + " bytes");
        } else if (!part.isHead() && length - lineStart > MAX_CHUNK_LINE_BYTES) {
            throw new InvalidRequestException(400, "chunk size line or trailer line is too long");
        }
    }

    private void ensureCapacity(int count) throws InvalidRequestException {
        int needed = length + count;
        if (needed > MAX_REQUEST_BYTES) {
            throw new InvalidRequestException(413, "request is larger than " + MAX_REQUEST_BYTES + " bytes");
        }
        if (needed > bytes.length) {
            int doubled = Math.max(INITIAL_BUFFER_BYTES, bytes.length * 2);
            int longest = expectedLength == 0 || head.isChunked() ? MAX_REQUEST_BYTES : expectedLength;
            bytes = Arrays.copyOf(bytes, Math.max(needed, Math.min(longest, doubled)));
        }
    }

    /**
     * Rejects input that does not begin with a method, such as the rest of a body that is longer than
     * declared.
     */
    private void checkMethod(byte next) throws InvalidRequestException {
        if (methodComplete) {
            return;
        }
        boolean endsMethod = next == ' ' && methodLetters > 0;
        boolean isLetter = next >= 'A' && next <= 'Z' && methodLetters < MAX_METHOD_LETTERS;
        if (!isLetter && !endsMethod) {
            throw new InvalidRequestException(400, "invalid method, or body longer than declared");
        }
        methodComplete = endsMethod;
        methodLetters++;
    }

    private void endLine() throws InvalidRequestException {
        String line = currentLine();
        lineStart = length;
        switch (part) {
            case REQUEST_LINE -> endRequestLine(line);
            case FIELDS -> endField(line);
            case CHUNK_SIZE -> endChunkSize(line);
            case CHUNK_END -> endChunk(line);
            default -> endTrailer(line);
        }
    }

    private String currentLine() throws InvalidRequestException {
        int end = length - 2;
        if (end < lineStart || bytes[end] != '\r') {
            throw new InvalidRequestException(400, "line does not end in CRLF");
        }
        for (int i = lineStart; i < end; i++) {
            if (isControlCharacter(bytes[i])) {
                throw new InvalidRequestException(400, "control character in a line");
            }
        }
        return new String(bytes, lineStart, end - lineStart, StandardCharsets.ISO_8859_1);
    }

    private static boolean isControlCharacter(byte character) {
        boolean isBelowPrintable = character >= 0 && character < FIRST_PRINTABLE;
        return (isBelowPrintable && character != '\t') || character == DELETE;
    }

    private void endRequestLine(String line) throws InvalidRequestException {
        if (line.isEmpty()) {
            if (++emptyLines > MAX_EMPTY_LINES) {
                throw new InvalidRequestException(400,
                        "more than " + MAX_EMPTY_LINES + " empty lines before a request");
            }
            length = 0;
            lineStart = 0;
            return;
        }
        head.requestLine(line);
        part = Part.FIELDS;
    }

    private void endField(String line) throws InvalidRequestException {
        if (!line.isEmpty()) {
            head.field(line);
            return;
        }
        head.end();
        remainingBytes = head.bodyLength();
        expectedLength = length + (head.isChunked() ? MAX_BODY_BYTES : (int) remainingBytes);
        if (head.isChunked()) {
            part = Part.CHUNK_SIZE;
        } else {
            part = remainingBytes > 0 ? Part.FIXED_BODY : Part.COMPLETE;
        }
    }

    private void endChunkSize(String line) throws InvalidRequestException {
        remainingBytes = chunkSize(line);
        chunkedBodyBytes += remainingBytes;
        if (chunkedBodyBytes > MAX_BODY_BYTES) {
            throw bodyTooLarge();
        }
        part = remainingBytes == 0 ? Part.TRAILER : Part.CHUNK_DATA;
    }

    private static long chunkSize(String line) throws InvalidRequestException {
        int end = 0;
        while (end < line.length() && isHexDigit(line.charAt(end))) {
            end++;
        }
        boolean endsWell = end == line.length() || ";\t ".indexOf(line.charAt(end)) >= 0;
        if (end == 0 || end > MAX_CHUNK_SIZE_DIGITS || !endsWell) {
            throw new InvalidRequestException(400, "invalid chunk size");
        }
        return Long.parseLong(line.substring(0, end), HEXADECIMAL);
    }

    private static boolean isHexDigit(char character) {
        return character <= DELETE && Character.digit(character, HEXADECIMAL) >= 0;
    }

    private void endChunk(String line) throws InvalidRequestException {
        if (!line.isEmpty()) {
            throw new InvalidRequestException(400, "chunk is longer than its declared size");
        }
        part = Part.CHUNK_SIZE;
    }

    private void endTrailer(String line) throws InvalidRequestException {
        if (line.isEmpty()) {
            part = Part.COMPLETE;
        } else {
            head.trailerField(line);
        }
    }

    /** Returns the exception for a request whose body exceeds {@link #MAX_BODY_BYTES}. */
    static InvalidRequestException bodyTooLarge() {
        return new InvalidRequestException(413, "request body is larger than " + MAX_BODY_BYTES + " bytes");
    }
}
