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
    private static final byte[] TWO =
            ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x\r\nhello\r\n1\r\n!\r\n0\r\n\r\n"
                    + "HTTP/1.1 503 No\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno")
                    .getBytes(StandardCharsets.ISO_8859_1);

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 1000})
    void messagesAreTakenOutHoweverTheirBytesCome(int piece) throws IOException {
        List<Message> came = new ArrayList<>();
        MessageReader reader = new MessageReader(came::add);
        for (int i = 0; i < TWO.length; i += piece) {
            reader.take(TWO, i, Math.min(piece, TWO.length - i), new Moment(i));
        }
        assertEquals(2, came.size());
        assertEquals("hello!", came.get(0).text());
        assertEquals(new Moment(0), came.get(0).began());
        assertEquals(503, came.get(1).status());
        assertEquals("0.5", came.get(1).field("retry-after"));
        assertFalse(came.get(1).lasting());
        assertFalse(reader.within());
    }

    @Test
    void aLengthThatMakesNoSenseIsNoMessage() {
        byte[] bad = "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
        assertThrows(IOException.class,
                () -> new MessageReader(m -> {}).take(bad, 0, bad.length, new Moment(0)));
    }
}
