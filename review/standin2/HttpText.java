import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 message as read from a stream: its first line, its fields by lower-case name, its body. */
record HttpText(String firstLine, Map<String, String> fields, String body) {

    /** Reads one message; null at the end of the stream before its first byte. Bodies need a Content-Length. */
    static HttpText read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new TreeMap<>();
        for (String text = line(in); text != null && !text.isEmpty(); text = line(in)) {
            int colon = text.indexOf(':');
            fields.put(text.substring(0, colon).toLowerCase(Locale.ROOT), text.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the message ends in its body");
        }
        return new HttpText(first, fields, new String(body, StandardCharsets.ISO_8859_1));
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return bytes.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            bytes.write(b);
        }
        return null;
    }

    String field(String name) {
        return fields.getOrDefault(name, "");
    }

    String target() {
        return firstLine.split(" ", 3)[1];
    }
}
