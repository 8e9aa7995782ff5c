package rampshift.testbed.wire;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import rampshift.time.Moment;

/**
 * An incremental parser of HTTP/1.1 messages. It shares no code with the dispatcher, so that a bug in the
 * dispatcher's parser is not hidden by the same bug here.
 */
public final class MessageReader {
    private static final int MAX_LINE_BYTES = 64 * 1024;
    private static final int MAX_BODY_BYTES = 64 << 20;
    private static final int INITIAL_LINE_BYTES = 128;
    private static final int INITIAL_BODY_BYTES = 256;
    private static final int DECIMAL = 10;
    private static final int HEXADECIMAL = 16;
    private static final byte[] NO_BODY = {};

    /** The part of a message to which the next byte belongs. */
    private enum State {
        START_LINE, HEADER_FIELDS, FIXED_BODY, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILER
    }

    private final Consumer<Message> listener;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(INITIAL_LINE_BYTES);
    private ByteArrayOutputStream body = new ByteArrayOutputStream(INITIAL_BODY_BYTES);
    private List<String> headerLines = new ArrayList<>();
    private String startLine;
    private State state = State.START_LINE;
    private long remainingBytes;
    private Moment startedAt;

    /**
     * Creates a reader.
     *
     * @param listener receives each message once it is complete
     */
    public MessageReader(Consumer<Message> listener) {
        this.listener = listener;
    }

    /** Returns whether a message has arrived in part. */
    public boolean isInMessage() {
        return startedAt != null;
    }

    /**
     * Parses the next bytes.
     *
     * @param bytes the array that holds the bytes
     * @param offset the index of the first byte
     * @param count the number of bytes
     * @param timestamp the time of arrival, or an estimate of when the bytes were sent
     * @throws IOException if the bytes are not a valid message
     */
    public void read(byte[] bytes, int offset, int count, Moment timestamp) throws IOException {
        int end = offset + count;
        int position = offset;
        while (position < end) {
            if (startedAt == null) {
                startedAt = timestamp;
            }
            if (state == State.FIXED_BODY || state == State.CHUNK_DATA) {
                position += readBody(bytes, position, end - position);
            } else {
                readLineByte(bytes[position++]);
            }
        }
    }

    private int readBody(byte[] bytes, int offset, int available) {
        int count = (int) Math.min(remainingBytes, available);
        body.write(bytes, offset, count);
        remainingBytes -= count;
        if (remainingBytes == 0) {
            endBodyPart();
        }
        return count;
    }

    private void endBodyPart() {
        if (state == State.CHUNK_DATA) {
            state = State.CHUNK_END;
        } else {
            endMessage();
        }
    }

    private void readLineByte(byte value) throws IOException {
        if (value != '\n') {
            line.write(value);
            if (line.size() > MAX_LINE_BYTES) {
                throw new IOException("line is longer than " + MAX_LINE_BYTES + " bytes");
            }
            return;
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        line.reset();
        readLine(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
    }

    private void readLine(String text) throws IOException {
        switch (state) {
            case START_LINE -> {
                if (!text.isEmpty()) {
                    startLine = text;
                    state = State.HEADER_FIELDS;
                }
            }
            case HEADER_FIELDS -> {
                if (text.isEmpty()) {
                    endHead();
                } else {
                    headerLines.add(text);
                }
            }
            case CHUNK_SIZE -> {
                remainingBytes = parseLength(text.split(";")[0].trim(), HEXADECIMAL);
                state = remainingBytes == 0 ? State.TRAILER : State.CHUNK_DATA;
            }
            case CHUNK_END -> state = State.CHUNK_SIZE;
            default -> {
                if (text.isEmpty()) {
                    endMessage();
                }
            }
        }
    }

    private void endHead() throws IOException {
        Message head = new Message(startLine, headerLines, NO_BODY, startedAt, true);
        String contentLength = head.field("Content-Length");
        if ("chunked".equalsIgnoreCase(head.field("Transfer-Encoding"))) {
            state = State.CHUNK_SIZE;
            return;
        }
        remainingBytes = contentLength == null ? 0 : parseLength(contentLength, DECIMAL);
        state = State.FIXED_BODY;
        if (remainingBytes == 0) {
            endMessage();
        }
    }

    private static long parseLength(String text, int radix) throws IOException {
        try {
            long value = Long.parseLong(text, radix);
            if (value >= 0 && value <= MAX_BODY_BYTES) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, as for a number out of range.
        }
        throw new IOException("invalid content length or chunk size");
    }

    private void endMessage() {
        String connection = new Message(startLine, headerLines, NO_BODY, startedAt, true).field("Connection");
        boolean persistent = connection == null || !connection.equalsIgnoreCase("close");
        Message message = new Message(startLine, headerLines, body.toByteArray(), startedAt, persistent);
        startLine = null;
        headerLines = new ArrayList<>();
        body = new ByteArrayOutputStream(INITIAL_BODY_BYTES);
        state = State.START_LINE;
        startedAt = null;
        listener.accept(message);
    }
}
