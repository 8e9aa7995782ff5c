package rampshift.testbed.wire;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import rampshift.time.Moment;

/**
 * A complete HTTP/1.1 request or response.
 *
 * @param startLine the request line or the status line
 * @param headerLines the header fields, one per line, as they arrived
 * @param body the body, without chunk framing
 * @param startedAt the time that {@link MessageReader#read} was given with the first byte
 * @param persistent whether the sender leaves the connection open
 */
public record Message(String startLine, List<String> headerLines, byte[] body, Moment startedAt,
        boolean persistent) {

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}.*");
    private static final int STATUS_START = "HTTP/1.1 ".length();
    private static final int STATUS_END = STATUS_START + 3;

    /** Returns the value of the first header field with a name, ignoring case; null if there is none. */
    public String field(String name) {
        int length = name.length();
        for (String line : headerLines) {
            boolean named = line.length() > length && line.charAt(length) == ':'
                    && line.regionMatches(true, 0, name, 0, length);
            if (named) {
                return line.substring(length + 1).trim();
            }
        }
        return null;
    }

    /** Returns the status code of a response; 0 if the start line is not a status line. */
    public int status() {
        boolean valid = STATUS_LINE.matcher(startLine).matches();
        return valid ? Integer.parseInt(startLine.substring(STATUS_START, STATUS_END)) : 0;
    }

    /** Returns the method of a request. */
    public String method() {
        int blank = startLine.indexOf(' ');
        return blank < 0 ? startLine : startLine.substring(0, blank);
    }

    /** Returns the target of a request; empty if the start line has none. */
    public String target() {
        String[] parts = startLine.split(" ", 3);
        return parts.length < 2 ? "" : parts[1];
    }

    /** Returns the body, decoded as UTF-8. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
