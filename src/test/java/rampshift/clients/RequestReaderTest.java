package rampshift.clients;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which bytes are a complete request and which are rejected. */
class RequestReaderTest {
    private static final String CHUNKED = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** Expands the placeholders of the test cases for line ends, control characters and a common head. */
    private static String expand(String template) {
        return template.replace("~", "\r\n").replace("^", "\u0000").replace("@", "\t")
                .replace("CHUNKED", CHUNKED);
    }

    private static void assertRejected(int status, String text) {
        InvalidRequestException rejection =
                assertThrows(InvalidRequestException.class, () -> new RequestReader().read(bytes(text)));
        assertEquals(status, rejection.status());
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @ParameterizedTest
    @ValueSource(strings = {
            "GET /ready HTTP/1.1~~", "~POST /a HTTP/1.0~Content-Length: 0~~", "CHUNKED0~~",
            "POST /a?b=%20 HTTP/1.1~Content-Length: 3~X-Odd: \u00e9@~~abc", "CHUNKED3;x=y~abc~00~Odd: 1~~",
            "CHUNKEDa ~0123456789~0~~"})
    void validRequestIsCompleteAtItsLastByte(String template) throws Exception {
        String text = expand(template);
        RequestReader reader = new RequestReader();
        for (int i = 0; i < text.length(); i++) {
            assertFalse(reader.isComplete(), "after " + i);
            reader.read(bytes(text.substring(i, i + 1)));
        }
        assertTrue(reader.isComplete());
        assertEquals(bytes(text.replaceFirst("^\r\n", "")), reader.takeRequest());
        ByteBuffer twoRequests = bytes(text + "GET /next");
        reader.read(twoRequests);
        assertTrue(reader.isComplete());
        assertEquals(9, twoRequests.remaining(), "bytes of the next request");
    }

    /**
     * Guards against forwarding invalid requests to workers as tasks without a body, and against waiting for
     * the rest of them until the client disconnects.
     */
    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '"', value = {
            "400 | CHUNKEDzz~abc~0~~", "400 | CHUNKED-3~abc~0~~", "400 | CHUNKED~0~~",
            "400 | CHUNKED3~abcd~0~~",
            "400 | CHUNKED3x~abc~0~~", "400 | CHUNKED123456789~", "400 | CHUNKED0~no colon~~",
            "413 | CHUNKED10001~", "413 | CHUNKEDffffffff~",
            "400 | POST /a HTTP/1.1~Content-Length: 3~Transfer-Encoding: chunked~~",
            "501 | POST /a HTTP/1.1~Transfer-Encoding: gzip, chunked~",
            "400 | POST /a HTTP/1.1~Transfer-Encoding: chunked~Transfer-Encoding: chunked~",
            "400 | POST /a HTTP/1.0~Transfer-Encoding: chunked~",
            "400 | POST /a HTTP/1.1~Content-Length: -1~", "400 | POST /a HTTP/1.1~Content-Length: +1~",
            "400 | POST /a HTTP/1.1~Content-Length: 1, 1~",
            "400 | POST /a HTTP/1.1~Content-Length: 0x1~", "400 | POST /a HTTP/1.1~Content-Length: ~",
            "400 | POST /a HTTP/1.1~Content-Length: 99999999999999999999~",
            "400 | POST /a HTTP/1.1~Content-Length: 1~Content-Length: 1~",
            "413 | POST /a HTTP/1.1~Content-Length: 65537~~", "411 | POST /a HTTP/1.1~~",
            "400 | POST /a HTTP/1.1~no colon~", "400 | POST /a HTTP/1.1~A : b~",
            "400 | POST /a HTTP/1.1~A: b~ folded~", "400 | POST /a HTTP/1.1~A: ^~",
            "400 | POST a HTTP/1.1~", "400 | POST /a~", "400 | POST /a b HTTP/1.1~",
            "505 | POST /a HTTP/2.0~", "400 | POST /a HTTQ/1.1~", "400 | POST~",
            "400 | post", "400 | ^", "400 | 1f9a", "417 | POST /a HTTP/1.1~Expect: more~",
            "400 | ANENDLESSMETHOD"})
    void invalidRequestIsRejectedAtOnce(int status, String template) {
        assertRejected(status, expand(template));
    }

    @Test
    void lineWithoutCarriageReturnIsRejected() {
        assertRejected(400, "GET / HTTP/1.1\nA: b\r\n");
    }

    @Test
    void endlessHeadOrBodyIsRejected() {
        assertRejected(431, "GET /" + "a".repeat(20_000));
        assertRejected(431, "GET / HTTP/1.1\r\n" + "A: b\r\n".repeat(65));
        assertRejected(413, CHUNKED + "1\r\na\r\n".repeat(40_000));
    }
}
