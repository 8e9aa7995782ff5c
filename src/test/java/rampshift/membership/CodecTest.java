package rampshift.membership;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Fixes the formats on the wire byte for byte: dispatchers of different builds must be compatible. */
class CodecTest {
    private static final String FLEET = "valle";
    private static final long SEQUENCE = 42;
    private static final String TARGET = "d3";
    /** Two updates and two drain notices. */
    private static final String PIGGYBACK = ""
            + "00020264310000019ad7358400fffffffffffffffe0000019ad7358401000000000000000001000d"
            + "31302e312e302e313a37393436056e6f72746805302e312e30026431026432000000000000000700"
            + "00000000000009000000000000000300000000000005dc02020a5b3a3a315d3a37393436012d0002"
            + "6433000203732d310000000000000005000000000000000c0003732d320000000000000000000000"
            + "000000000d01";

    private static final List<MemberUpdate> UPDATES = List.of(
            MemberUpdate.of(new MemberIdentity("d1", 1764547200000L, -2, "10.1.0.1:7946", "north", "0.1.0",
                    1764547200001L, MemberIdentity.Phase.SERVING), MemberUpdate.Status.ALIVE, "d1"),
            new MemberUpdate(
                    new MemberIdentity("d2", 7, 9, "[::1]:7946", "-", "", 3, MemberIdentity.Phase.STOPPING),
                    MemberUpdate.Status.FAILED, "d3", 1500));
    private static final List<DrainNotice> NOTICES =
            List.of(new DrainNotice("s-1", 5, 12, DrainNotice.Kind.DRAINING),
                    new DrainNotice("s-2", 0, 13, DrainNotice.Kind.REMOVED));

    private final Codec codec = new Codec(FLEET);

    @ParameterizedTest
    @CsvSource({"PING,525301008677f12c000000000000002a02643102643200,dd13d4c6",
            "ACK,525301018677f12c000000000000002a026431026432026433,ae07b2c3",
            "PING_REQUEST,525301028677f12c000000000000002a026431026432026433,fc5c78db",
            "NACK,525301038677f12c000000000000002a026431026432026433,cd953ed3",
            "GOSSIP,525301048677f12c000000000000000002643102643200,70ebae46",
            "SYNC_REQUEST,525301058677f12c000000000000000002643102643200,184c4639",
            "SYNC_RESPONSE,525301068677f12c000000000000000002643102643200,a1a47eb8"})
    void aMessageOfEachKindHasItsFixedBytes(MessageKind kind, String header, String checksum)
            throws MalformedMessageException {
        Message message = new Message("d1", "d2", kind.body(SEQUENCE, TARGET), UPDATES, NOTICES);
        byte[] expected = HexFormat.of().parseHex(header + PIGGYBACK + checksum);
        assertArrayEquals(expected, codec.encode(message));
        assertEquals(message, codec.decode(expected, expected.length));
    }

    @Test
    void anEnvelopeHasItsFixedBytes() {
        byte[] payload = {1, 2, 3, (byte) 255};
        byte[] expected = HexFormat.of().parseHex("52548677f12c026431010203ff1970e8aa");
        assertArrayEquals(expected, new Envelope("d1", payload).encode(FLEET));
        assertTrue(Envelope.isEnvelope(expected, expected.length));
        Envelope decoded = Envelope.decode(FLEET, expected, expected.length).orElseThrow();
        assertEquals("d1", decoded.from());
        assertArrayEquals(payload, decoded.payload());
    }

    @Test
    void aTruncatedChangedOrForeignEnvelopeIsRejected() {
        byte[] good = new Envelope("d1", new byte[]{1, 2, 3}).encode(FLEET);
        assertFalse(Envelope.decode("other", good, good.length).isPresent());
        for (int length = 0; length < good.length; length++) {
            assertFalse(Envelope.decode(FLEET, good, length).isPresent(), "length " + length);
            byte[] changed = good.clone();
            changed[length] ^= 1;
            assertFalse(Envelope.decode(FLEET, changed, changed.length).isPresent(), "byte " + length);
        }
    }
}
