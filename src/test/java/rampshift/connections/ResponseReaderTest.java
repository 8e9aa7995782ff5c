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
    private final StringBuilder said = new StringBuilder();

    private int read(String text) throws ResponseReader.Odd {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        return reader.read(bytes, 0, bytes.length, this);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 1000})
    void anAnswerInChunksIsReadInPiecesOfAnySize(int size) throws Exception {
        String text =
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-load: {\"a\":1}\r\nTransfer-Encoding: Chunked\r\n\r\n"
                        + "5;odd=1\r\nab\r\nc\r\n1\r\nd\r\n0\r\nTrailer: 1\r\n\r\nHTTP/1.1 200";
        reader.begin();
        int used = 0;
        for (int from = 0; from < text.length() && !reader.done(); from += size) {
            used += read(text.substring(from, Math.min(text.length(), from + size)));
        }
        assertEquals("200 {\"a\":1} ab\r\ncd", said.toString());
        assertTrue(reader.done() && reader.lasting());
        assertEquals(text.length() - "HTTP/1.1 200".length(), used, "what follows is not touched");
    }

    @Test
    void theLengthEndsABodyAndSoDoesTheEndOfTheConnection() throws Exception {
        reader.begin();
        read("HTTP/1.1 503 no\nContent-Length: 3\nConnection: close\n\nabcd");
        assertTrue(reader.done());
        assertFalse(reader.lasting(), "the other side closes it");
        reader.begin();
        read("HTTP/1.0 200 OK\r\n\r\nabc");
        assertFalse(reader.done());
        assertTrue(reader.endOfStream());
    }

    @ParameterizedTest
    @ValueSource(strings = {
            "nonsense\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/1.1 2x0 OK\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n",
            "HTTP/1.1 200 OK\r\n folded: 1\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n", "HTTP/1.1 101 Other\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
    })
    void oddAnswersAreNamed(String text) {
        reader.begin();
        assertThrows(ResponseReader.Odd.class, () -> read(text));
    }

    @Test
    void linesAndFieldsAreBounded() {
        reader.begin();
        assertThrows(ResponseReader.Odd.class,
                () -> read("HTTP/1.1 200 OK\r\nA: " + "a".repeat(ResponseReader.LONGEST_LINE)));
        reader.begin();
        assertThrows(ResponseReader.Odd.class,
                () -> read("HTTP/1.1 200 OK\r\n" + "a: b\r\n".repeat(ResponseReader.MOST_FIELDS + 1)));
        reader.begin();
        String interim = "HTTP/1.1 100 x\r\n\r\n";
        assertThrows(ResponseReader.Odd.class, () -> read(interim.repeat(ResponseReader.MOST_FIELDS + 1)));
    }

    @Override
    public void onHead(ResponseHead head) {
        said.append(head.status()).append(' ').append(head.field("X-Load")).append(' ');
    }

    @Override
    public void onBody(byte[] bytes, int from, int length) {
        said.append(new String(bytes, from, length, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void onComplete() {
        // Not of interest here.
    }

    @Override
    public void onFailure(String why) {
        // Not of interest here.
    }
}
