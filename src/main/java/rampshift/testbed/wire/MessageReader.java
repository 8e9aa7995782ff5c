package rampshift.testbed.wire;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import rampshift.time.Moment;

/**
 * Takes messages of HTTP/1.1 out of a stream of bytes. It has none of its code from the dispatcher: two
 * readers
 * that share a mistake would never find it.
 */
public final class MessageReader {
    private static final int LONGEST_LINE = 64 * 1024;
    private static final int LARGEST_BODY = 64 << 20;

    private enum At { FIRST, FIELDS, FIXED, SIZE, CHUNK, AFTER_CHUNK, TRAILER }

    private final Consumer<Message> whole;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private ByteArrayOutputStream body = new ByteArrayOutputStream(256);
    private List<String> fields = new ArrayList<>();
    private String first;
    private At at = At.FIRST;
    private long left;
    private Moment began;

    public MessageReader(Consumer<Message> whole) {
        this.whole = whole;
    }

    /** Some of a message has come, but not all. */
    public boolean within() {
        return began != null;
    }

    /** When the first byte of the message came that is coming in. */
    public Moment began() {
        return began;
    }

    /** Takes bytes as they came, or throws where they are no message. */
    public void take(byte[] bytes, int from, int count, Moment now) throws IOException {
        int end = from + count;
        for (int i = from; i < end;) {
            if (began == null) {
                began = now;
            }
            if (at == At.FIXED || at == At.CHUNK) {
                int piece = (int) Math.min(left, end - i);
                body.write(bytes, i, piece);
                i += piece;
                left -= piece;
                if (left == 0) {
                    bodyPartEnds();
                }
                continue;
            }
            byte b = bytes[i++];
            if (b != '\n') {
                line.write(b);
                if (line.size() > LONGEST_LINE) {
                    throw new IOException("a line over " + LONGEST_LINE + " bytes");
                }
                continue;
            }
            String text = line.toString(StandardCharsets.ISO_8859_1);
            line.reset();
            line(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
        }
    }

    private void line(String text) throws IOException {
        switch (at) {
            case FIRST -> {
                if (!text.isEmpty()) {
                    first = text;
                    at = At.FIELDS;
                }
            }
            case FIELDS -> {
                if (text.isEmpty()) {
                    headEnds();
                } else {
                    fields.add(text);
                }
            }
            case SIZE -> {
                left = number(text.split(";")[0].trim(), 16);
                at = left == 0 ? At.TRAILER : At.CHUNK;
            }
            case AFTER_CHUNK -> at = At.SIZE;
            default -> {
                if (text.isEmpty()) {
                    ends();
                }
            }
        }
    }

    private void headEnds() throws IOException {
        Message head = new Message(first, fields, new byte[0], began, true);
        String length = head.field("Content-Length");
        if ("chunked".equalsIgnoreCase(head.field("Transfer-Encoding"))) {
            at = At.SIZE;
        } else {
            left = length == null ? 0 : number(length, 10);
            at = At.FIXED;
            if (left == 0) {
                ends();
            }
        }
    }

    private static long number(String text, int base) throws IOException {
        try {
            long value = Long.parseLong(text, base);
            if (value >= 0 && value <= LARGEST_BODY) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Falls through.
        }
        throw new IOException("a length that makes no sense");
    }

    private void bodyPartEnds() {
        if (at == At.CHUNK) {
            at = At.AFTER_CHUNK;
        } else {
            ends();
        }
    }

    private void ends() {
        Message m = new Message(first, fields, body.toByteArray(), began, true);
        String close = m.field("Connection");
        boolean lasting = close == null || !close.equalsIgnoreCase("close");
        first = null;
        fields = new ArrayList<>();
        body = new ByteArrayOutputStream(256);
        at = At.FIRST;
        began = null;
        whole.accept(lasting ? m : new Message(m.first(), m.fields(), m.body(), m.began(), false));
    }
}
