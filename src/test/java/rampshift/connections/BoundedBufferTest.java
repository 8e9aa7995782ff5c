package rampshift.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class BoundedBufferTest {
    private static final byte[] TEXT = "abcdefgh".getBytes(StandardCharsets.US_ASCII);

    private final BoundedBuffer buffer = new BoundedBuffer(2, 5);

    private String text() {
        return buffer.text(StandardCharsets.US_ASCII);
    }

    @Test
    void growsUpToItsLimitAndThenRefusesBytes() {
        for (int i = 0; i < 5; i++) {
            assertTrue(buffer.append(TEXT[i]));
        }
        assertFalse(buffer.append((byte) 'f'));
        assertEquals("abcde", text());
    }

    @Test
    void truncatesAnArrayThatExceedsTheLimit() {
        buffer.append((byte) 'x');
        buffer.appendTruncated(TEXT, 2, 6);
        assertEquals("xcdef", text());
        buffer.appendTruncated(TEXT, 0, 1);
        assertEquals(5, buffer.length());
    }

    @Test
    void removesTheLastByteOrAllBytes() {
        assertFalse(buffer.endsWith((byte) 'b'), "an empty buffer ends with nothing");
        buffer.appendTruncated(TEXT, 0, 2);
        assertTrue(buffer.endsWith((byte) 'b'));
        buffer.removeLast();
        assertEquals("a", text());
        buffer.clear();
        assertEquals("", text());
    }

    @Test
    void holdsNoMemoryWhileItIsEmptyAndAtMostItsLimit() {
        assertEquals(0, buffer.heldBytes());
        buffer.append((byte) 'x');
        assertEquals(2, buffer.heldBytes());
        buffer.appendTruncated(TEXT, 0, 4);
        assertEquals(5, buffer.heldBytes());
        buffer.clear();
        assertEquals(0, buffer.heldBytes());
        assertEquals(0, buffer.array().length, "the enlarged array is released");
    }
}
