package rampshift.leases.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * The layout of a record file: a header, then frames. A frame consists of the length of its body, the CRC32C
 * of its body, and the body: a number that increases from frame to frame, the length of the key, the key, and
 * the value.
 */
final class RecordFormat {
    /** Size of the length and checksum of a frame. */
    static final int FRAME_HEADER_BYTES = 8;
    /** Minimum size of a body: its number and the length of an empty key. */
    static final int MIN_BODY_BYTES = 10;
    /** Maximum size of a body. */
    static final int MAX_BODY_BYTES = 1 << 16;

    private static final byte[] FILE_HEADER = "RSHREC01".getBytes(StandardCharsets.US_ASCII);
    private static final int CHECKSUM_OFFSET = Integer.BYTES;

    private RecordFormat() {}

    /** Returns the header of each file. */
    static byte[] fileHeader() {
        return FILE_HEADER.clone();
    }

    /** Reads the header; returns whether it belongs to this format. */
    static boolean readFileHeader(ByteBuffer file) {
        if (file.remaining() < FILE_HEADER.length) {
            return false;
        }
        byte[] header = new byte[FILE_HEADER.length];
        file.get(header);
        return Arrays.equals(FILE_HEADER, header);
    }

    /** Returns the size of a frame's body in bytes. */
    static int bodyBytes(byte[] key, byte[] value) {
        return MIN_BODY_BYTES + key.length + value.length;
    }

    /** Appends a frame to a buffer, which must have room for it. */
    static void write(ByteBuffer buffer, long number, byte[] key, byte[] value) {
        int start = buffer.position();
        int length = bodyBytes(key, value);
        buffer.putInt(length).putInt(0).putLong(number).putShort((short) key.length).put(key).put(value);
        buffer.putInt(start + CHECKSUM_OFFSET, checksum(buffer, start + FRAME_HEADER_BYTES, length));
    }

    /**
     * Returns whether an undamaged frame with a number above the given one begins at this offset; 0 permits
     * any number.
     */
    static boolean isFrameAt(ByteBuffer file, int offset, long lastNumber) {
        int bytesLeft = file.limit() - offset - FRAME_HEADER_BYTES;
        if (bytesLeft < MIN_BODY_BYTES) {
            return false;
        }
        int length = file.getInt(offset);
        if (length < MIN_BODY_BYTES || length > MAX_BODY_BYTES || length > bytesLeft) {
            return false;
        }
        int body = offset + FRAME_HEADER_BYTES;
        boolean isIncreasing = lastNumber == 0 || file.getLong(body) > lastNumber;
        return isIncreasing && checksum(file, body, length) == file.getInt(offset + CHECKSUM_OFFSET);
    }

    /** Reads the frame at the buffer's position, which must be undamaged. */
    static StoredRecord read(ByteBuffer file) {
        int length = file.getInt();
        file.getInt();
        long number = file.getLong();
        byte[] key = new byte[file.getShort()];
        file.get(key);
        byte[] value = new byte[length - MIN_BODY_BYTES - key.length];
        file.get(value);
        return new StoredRecord(number, new String(key, StandardCharsets.UTF_8), value);
    }

    private static int checksum(ByteBuffer buffer, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(buffer.slice(offset, length));
        return (int) crc.getValue();
    }

    /** A record read from a file. */
    static final class StoredRecord {
        private final long number;
        private final String key;
        private final byte[] value;

        private StoredRecord(long number, String key, byte[] value) {
            this.number = number;
            this.key = key;
            this.value = value;
        }

        long number() {
            return number;
        }

        String key() {
            return key;
        }

        byte[] value() {
            return value;
        }
    }
}
