package rampshift.testbed.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rampshift.time.Moment;

class MessageReaderTest {
    private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String CHUNKED_BODY = "5;x\r\nhello\r\n1\r\n!\r\n0\r\n\r\n";
    private static final String FIXED_MESSAGE =
            "HTTP/1.1 503 No\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno";
    private static final byte[] TWO_MESSAGES =
            (CHUNKED_HEAD + CHUNKED_BODY + FIXED_MESSAGE).getBytes(StandardCharsets.ISO_8859_1);

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 1000})
    void readsMessagesInPiecesOfAnySize(int size) throws IOException {
        List<Message> messages = new ArrayList<>();
        MessageReader reader = new MessageReader(messages::add);
        for (int i = 0; i < TWO_MESSAGES.length; i += size) {
            reader.read(TWO_MESSAGES, i, Math.min(size, TWO_MESSAGES.length - i), new Moment(i));
        }
        assertEquals(2, messages.size());
        assertEquals("hello!", messages.get(0).text());
        assertEquals(new Moment(0), messages.get(0).startedAt());
        assertEquals(503, messages.get(1).status());
        assertEquals("0.5", messages.get(1).field("retry-after"));
        assertFalse(messages.get(1).persistent());
        assertFalse(reader.isInMessage());
    }

    @Test
    void rejectsAnInvalidLength() {
        byte[] bytes = "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
        MessageReader reader = new MessageReader(message -> {
            // No message is expected.
        });
        assertThrows(IOException.class, () -> reader.read(bytes, 0, bytes.length, new Moment(0)));
    }
}
