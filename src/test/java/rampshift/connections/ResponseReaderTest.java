package rampshift.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseReaderTest implements ExchangeListener {
    private final ResponseReader reader = new ResponseReader();
    private final StringBuilder received = new StringBuilder();

    private int read(String text) throws MalformedResponseException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        return reader.read(bytes, 0, bytes.length, this);
    }

    private void assertMalformed(String text) {
        reader.begin();
        assertThrows(MalformedResponseException.class, () -> read(text));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 1000})
    void readsAChunkedResponseInPiecesOfAnySize(int size) throws Exception {
        String next = "HTTP/1.1 200";
        String text = "HTTP/1.1 100 Continue\r\n\r\n"
                + "HTTP/1.1 200 OK\r\nx-load: {\"a\":1}\r\nTransfer-Encoding: Chunked\r\n\r\n"
                + "5;extension=1\r\nab\r\nc\r\n1\r\nd\r\n0\r\nTrailer: 1\r\n\r\n" + next;
        reader.begin();
        int consumed = 0;
        for (int from = 0; from < text.length() && !reader.isComplete(); from += size) {
            consumed += read(text.substring(from, Math.min(text.length(), from + size)));
        }
        assertEquals("200 {\"a\":1} ab\r\ncd", received.toString());
        assertTrue(reader.isComplete() && reader.isPersistent());
        assertEquals(text.length() - next.length(), consumed, "the next response is not consumed");
    }

    @Test
    void endsABodyAtItsLengthOrAtTheEndOfTheConnection() throws Exception {
        reader.begin();
        read("HTTP/1.1 503 no\nContent-Length: 3\nConnection: close\n\nabcd");
        assertTrue(reader.isComplete());
        assertFalse(reader.isPersistent(), "the peer closes the connection");
        reader.begin();
        read("HTTP/1.0 200 OK\r\n\r\nabc");
        assertFalse(reader.isComplete());
        assertTrue(reader.isCompleteAtClose());
    }

    @ParameterizedTest
    @ValueSource(strings = {
            "nonsense\r\n",
            "HTTP/2.0 200 OK\r\n",
            "HTTP/1.1 2x0 OK\r\n",
            "HTTP/1.1 200 OK\r\nno colon\r\n",
            "HTTP/1.1 200 OK\r\n folded: 1\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n",
            "HTTP/1.1 101 Other\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
    })
    void rejectsMalformedResponses(String text) {
        assertMalformed(text);
    }

    @Test
    void limitsTheLengthOfALineAndTheNumberOfFields() {
        assertMalformed("HTTP/1.1 200 OK\r\nA: " + "a".repeat(ResponseReader.MAX_LINE_BYTES));
        assertMalformed("HTTP/1.1 200 OK\r\n" + "a: b\r\n".repeat(ResponseReader.MAX_HEADER_FIELDS + 1));
        assertMalformed("HTTP/1.1 100 x\r\n\r\n".repeat(ResponseReader.MAX_HEADER_FIELDS + 1));
        assertMalformed("HTTP/1.1 200 OK\r\n"
                + ("a: " + "b".repeat(ResponseReader.MAX_LINE_BYTES / 2) + "\r\n").repeat(4));
    }

    @Test
    void holdsMemoryOnlyForAnUnfinishedLineAndAnUnfinishedHead() throws Exception {
        reader.begin();
        read("HTTP/1.1 200 OK\r\na: " + "b".repeat(5_000) + "\r\n");
        int head = reader.heldBytes();
        assertTrue(head > 5_000 && head < 5_500, head + " bytes");
        read("a: " + "b".repeat(3_000));
        assertTrue(reader.heldBytes() >= head + 3_000);
        read("\r\nContent-Length: 3\r\n\r\nab");
        assertEquals(0, reader.heldBytes());
        read("c");
        assertTrue(reader.isPersistent());
    }

    @Override
    public void onHead(ResponseHead head) {
        received.append(head.status()).append(' ').append(head.field("X-Load")).append(' ');
    }

    @Override
    public void onBody(byte[] bytes, int offset, int length) {
        received.append(new String(bytes, offset, length, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void onComplete() {
        // The tests query the reader for whether the response is complete.
    }

    @Override
    public void onFailure(String reason) {
        // The reader reports failures by exceptions.
    }
}
