package rampshift.testbed.wire;

import java.nio.charset.StandardCharsets;
import java.util.List;
import rampshift.time.Moment;

/**
 * One whole message of HTTP/1.1: its first line, its fields as they came, its body; when it began to come.
 */
public record Message(String first, List<String> fields, byte[] body, Moment began, boolean lasting) {
    /** The first value of a field, or null. */
    public String field(String name) {
        for (String line : fields) {
            int length = name.length();
            if (line.length() > length && line.charAt(length) == ':'
                    && line.regionMatches(true, 0, name, 0, length)) {
                return line.substring(length + 1).trim();
            }
        }
        return null;
    }

    /** Of an answer; 0 where the first line is none. */
    public int status() {
        return first.matches("HTTP/1\\.[01] \\d{3}.*") ? Integer.parseInt(first.substring(9, 12)) : 0;
    }

    public String method() {
        int blank = first.indexOf(' ');
        return blank < 0 ? first : first.substring(0, blank);
    }

    public String target() {
        String[] parts = first.split(" ", 3);
        return parts.length < 2 ? "" : parts[1];
    }

    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
