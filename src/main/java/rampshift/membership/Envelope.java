package rampshift.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * What goes beside the members' own messages over their address: a parcel, its sender and fleet, and a
 * checksum.
 */
public record Envelope(String from, byte[] parcel) {
    /** Bytes of a parcel at most. */
    public static final int MOST = 1300;
    private static final int MARK = 0x5254;
    private static final int NAME = 64;
    private static final int TAIL = 4;

    public byte[] write(String fleet) {
        byte[] name = from.getBytes(StandardCharsets.US_ASCII);
        ByteBuffer b = ByteBuffer.allocate(2 + 4 + 1 + name.length + parcel.length + TAIL);
        b.putShort((short) MARK).putInt(Codec.number(fleet)).put((byte) name.length).put(name).put(parcel);
        return b.putInt(Codec.sum(b.array(), b.position())).array();
    }

    /** Whether it is meant for one: the members' own begin otherwise. */
    public static boolean is(byte[] bytes, int count) {
        return count > 2 && ByteBuffer.wrap(bytes).getShort() == MARK;
    }

    /** Null where it is malformed, or of another fleet. */
    public static Envelope read(String fleet, byte[] bytes, int count) {
        try {
            ByteBuffer b = ByteBuffer.wrap(bytes, 0, count - TAIL);
            if (b.getShort() != MARK || b.getInt() != Codec.number(fleet)
                    || Codec.sum(bytes, count - TAIL) != ByteBuffer.wrap(bytes, count - TAIL, TAIL)
                            .getInt()) {
                return null;
            }
            byte[] name = new byte[b.get() & 0xff];
            if (name.length == 0 || name.length > NAME) {
                return null;
            }
            b.get(name);
            byte[] parcel = new byte[b.remaining()];
            b.get(parcel);
            return new Envelope(new String(name, StandardCharsets.US_ASCII), parcel);
        } catch (BufferUnderflowException | IndexOutOfBoundsException | IllegalArgumentException e) {
            return null;
        }
    }
}
