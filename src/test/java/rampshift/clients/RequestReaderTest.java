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

class RequestReaderTest {
    private static final String CHUNKED = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static String plain(String text) {
        return text.replace("~", "\r\n").replace("^", "\u0000").replace("@", "\t").replace("CHUNKED",
                CHUNKED);
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @ParameterizedTest
    @ValueSource(strings = {
            "GET /ready HTTP/1.1~~", "~POST /a HTTP/1.0~Content-Length: 0~~", "CHUNKED0~~",
            "POST /a?b=%20 HTTP/1.1~Content-Length: 3~X-Odd: \u00e9@~~abc", "CHUNKED3;x=y~abc~00~Odd: 1~~",
            "CHUNKEDa ~0123456789~0~~"})
    void aSoundCallIsWholeAtItsLastByteHoweverItComes(String call) throws Exception {
        String text = plain(call);
        RequestReader reader = new RequestReader();
        for (int i = 0; i < text.length(); i++) {
            assertFalse(reader.whole(), "after " + i);
            reader.take(bytes(text.substring(i, i + 1)));
        }
        assertTrue(reader.whole());
        assertEquals(bytes(text.replaceFirst("^\r\n", "")), reader.handOver());
        ByteBuffer two = bytes(text + "GET /next");
        reader.take(two);
        assertTrue(reader.whole());
        assertEquals(9, two.remaining(), "what follows is left");
    }

    /** All but a few of these went on to workers as tasks without a body, or waited until the client left. */
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
    void whatIsNotSoundIsTurnedDownAtOnce(int status, String call) {
        assertEquals(status, assertThrows(RequestReader.Unsound.class,
                () -> new RequestReader().take(bytes(plain(call)))).status);
    }

    @Test
    void aLineWithoutItsCarriageReturnAndEndlessHeadsAreTurnedDown() {
        assertThrows(RequestReader.Unsound.class,
                () -> new RequestReader().take(bytes("GET / HTTP/1.1\nA: b\r\n")));
        assertEquals(431, assertThrows(RequestReader.Unsound.class,
                () -> new RequestReader().take(bytes("GET /" + "a".repeat(20_000)))).status);
        String fields = "A: b\r\n".repeat(65);
        assertEquals(431, assertThrows(RequestReader.Unsound.class,
                () -> new RequestReader().take(bytes("GET / HTTP/1.1\r\n" + fields))).status);
        String chunks = "1\r\na\r\n".repeat(40_000);
        assertEquals(413, assertThrows(RequestReader.Unsound.class,
                () -> new RequestReader().take(bytes(CHUNKED + chunks))).status);
    }
}
