package rampshift.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A datagram that other modules send over the sockets of the membership: a payload with its sender, the
 * number of the fleet and a CRC32C.
 *
 * @param from    the name of the sender
 * @param payload the content, in a format that the sending module defines
 */
public record Envelope(String from, byte[] payload) {
    private static final short MAGIC = 0x5254;
    private static final int CHECKSUM_BYTES = Integer.BYTES;
    private static final int UNSIGNED_BYTE = 0xff;
    /** The size of the magic number, fleet number, length of the sender's name, and checksum. */
    private static final int FRAME_BYTES = Short.BYTES + Integer.BYTES + Byte.BYTES + CHECKSUM_BYTES;

    /** Encodes this envelope as a datagram of the given fleet. */
    public byte[] encode(String fleetName) {
        byte[] sender = from.getBytes(StandardCharsets.US_ASCII);
        ByteBuffer buffer = ByteBuffer.allocate(FRAME_BYTES + sender.length + payload.length);
        buffer.putShort(MAGIC);
        buffer.putInt(Codec.fleetNumber(fleetName));
        buffer.put((byte) sender.length);
        buffer.put(sender);
        buffer.put(payload);
        buffer.putInt(Codec.checksum(buffer.array(), buffer.position()));
        return buffer.array();
    }

    /** Returns whether a datagram is an envelope; the membership protocol has another magic number. */
    public static boolean isEnvelope(byte[] bytes, int count) {
        return count > Short.BYTES && ByteBuffer.wrap(bytes).getShort() == MAGIC;
    }

    /** Decodes the first bytes of an array; empty if they are malformed or of another fleet. */
    public static Optional<Envelope> decode(String fleetName, byte[] bytes, int count) {
        if (count < FRAME_BYTES) {
            return Optional.empty();
        }
        int contentBytes = count - CHECKSUM_BYTES;
        ByteBuffer buffer = ByteBuffer.wrap(bytes, 0, contentBytes);
        int expectedChecksum = ByteBuffer.wrap(bytes, contentBytes, CHECKSUM_BYTES).getInt();
        if (buffer.getShort() != MAGIC || buffer.getInt() != Codec.fleetNumber(fleetName)
                || Codec.checksum(bytes, contentBytes) != expectedChecksum) {
            return Optional.empty();
        }
        int senderBytes = buffer.get() & UNSIGNED_BYTE;
        if (senderBytes == 0 || senderBytes > Codec.MAX_TEXT_BYTES) {
            return Optional.empty();
        }
        try {
            byte[] sender = new byte[senderBytes];
            buffer.get(sender);
            byte[] payload = new byte[buffer.remaining()];
            buffer.get(payload);
            return Optional.of(new Envelope(new String(sender, StandardCharsets.US_ASCII), payload));
        } catch (BufferUnderflowException e) {
            return Optional.empty();
        }
    }
}
