package rampshift;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * One received HTTP/1.1 message.
 *
 * @param head the start line and the header lines, without line ends
 * @param body the body by its Content-Length; empty if there is no such field
 */
public record HttpMessage(List<String> head, byte[] body) {
    private static final int STATUS_START = 9;
    private static final int STATUS_END = 12;

    /** Returns the request line or the status line. */
    public String startLine() {
        return head.get(0);
    }

    /** Returns the status code of a response. */
    public int status() {
        return Integer.parseInt(startLine().substring(STATUS_START, STATUS_END));
    }

    /** Returns the value of the first header field of a name; null if there is none. */
    public String field(String name) {
        String prefix = name + ": ";
        for (String line : head) {
            if (line.regionMatches(true, 0, prefix, 0, prefix.length())) {
                return line.substring(prefix.length());
            }
        }
        return null;
    }

    /** Returns the body as text, one character per byte. */
    public String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /**
     * Blocks until the next complete message is received; throws an {@link EOFException} if the stream ends
     * before.
     */
    static HttpMessage read(InputStream in) throws IOException {
        List<String> head = readHead(in);
        String length = new HttpMessage(head, new byte[0]).field("Content-Length");
        if (length == null) {
            return new HttpMessage(head, new byte[0]);
        }
        byte[] body = in.readNBytes(Integer.parseInt(length));
        if (body.length < Integer.parseInt(length)) {
            throw new EOFException();   // truncated, perhaps intentionally
        }
        return new HttpMessage(head, body);
    }

    private static List<String> readHead(InputStream in) throws IOException {
        List<String> head = new ArrayList<>();
        String line = readLine(in);
        while (!line.isEmpty()) {
            head.add(line);
            line = readLine(in);
        }
        return head;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException();
            }
            line.write(next);
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
    }
}
