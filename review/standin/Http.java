import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
    /** A message: its first line, its fields in lower case, its body, and when its first byte was read. */
    static final class Message {
        String first = "";
        final Map<String, String> fields = new TreeMap<>();
        byte[] body = {};
        double firstByteAt;

        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {}

    /** Returns the next message; null if the stream ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        Message message = new Message();
        message.firstByteAt = Record.now();
        message.first = (char) first + line(in);
        for (String field = line(in); !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            message.fields.put(field.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).trim());
        }
        if (message.field("transfer-encoding").equals("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = chunk(in); size > 0; size = chunk(in)) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
            message.body = body.toByteArray();
        } else if (!message.field("content-length").isEmpty()) {
            message.body = exactly(in, Integer.parseInt(message.field("content-length")));
        }
        return message;
    }

    private static int chunk(InputStream in) throws IOException {
        return Integer.parseInt(line(in).split(";")[0].trim(), 16);
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("ended within a body");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("ended within a line");
            }
            if (next != '\r') {
                text.append((char) next);
            }
        }
        return text.toString();
    }
}
