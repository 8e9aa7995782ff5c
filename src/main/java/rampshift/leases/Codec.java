package rampshift.leases;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes messages and stored records. Decoding checks bounds; checksums are left to the
 * transport and the record log.
 */
final class Codec {
    /** Maximum size of a message in bytes. */
    static final int MAX_MESSAGE_BYTES = 1300;

    private static final int MAX_COUNT = 200;
    private static final int MAX_TEXT_LENGTH = 600;
    private static final int INITIAL_BUFFER_BYTES = 128;
    /** Bytes of a read reply that are reserved for the fields other than names and values. */
    private static final int MESSAGE_OVERHEAD_BYTES = 200;
    /**
     * Bytes of a value in a read reply besides its name and texts, including the length fields of all texts.
     */
    private static final int VALUE_OVERHEAD_BYTES = 60;

    private Codec() {}

    private interface Encoder {
        void write(DataOutputStream out) throws IOException;
    }

    private interface Decoder<T> {
        T read(DataInputStream in) throws IOException;
    }

    static byte[] encode(Message message) {
        WireMessage wire = message.toWire();
        return encode(out -> {
            out.writeByte(wire.type().code());
            out.writeLong(wire.number());
            out.writeLong(wire.epoch());
            out.writeUTF(wire.register());
            writeBallot(out, wire.ballot());
            writeBallot(out, wire.accepted());
            writeRecord(out, wire.value());
            out.writeShort(wire.names().size());
            for (String name : wire.names()) {
                out.writeUTF(name);
            }
            out.writeShort(wire.values().size());
            for (LeaseRecord value : wire.values()) {
                writeRecord(out, value);
            }
            out.writeUTF(wire.acceptors());
            out.writeLong(wire.directoryId());
            out.writeLong(wire.directory().startCount());
            out.writeLong(wire.directory().recordCount());
        });
    }

    /** Decodes a message; returns null if the bytes are malformed or have a trailing rest. */
    static Message decodeMessage(byte[] bytes) {
        WireMessage wire = decode(bytes, Codec::readMessage);
        return wire == null ? null : wire.toMessage();
    }

    private static WireMessage readMessage(DataInputStream in) throws IOException {
        MessageType type = MessageType.ofCode(in.readUnsignedByte());
        if (type == null) {
            throw new IOException("unknown message type");
        }
        return new WireMessage(type, in.readLong(), in.readLong(), readText(in), readBallot(in),
                readBallot(in), readRecord(in), readNames(in), readRecords(in), readText(in), in.readLong(),
                new DirectoryVersion(in.readLong(), in.readLong()));
    }

    static byte[] encode(AcceptorState state) {
        return encode(out -> {
            writeBallot(out, state.promised());
            writeBallot(out, state.accepted());
            writeRecord(out, state.value());
        });
    }

    /** Decodes a state; returns null if the bytes are malformed or have a trailing rest. */
    static AcceptorState decodeState(byte[] bytes) {
        return decode(bytes, in -> new AcceptorState(readBallot(in), readBallot(in), readRecord(in)));
    }

    /** Encodes two numbers as a stored record. */
    static byte[] encode(long first, long second) {
        return ByteBuffer.allocate(2 * Long.BYTES).putLong(first).putLong(second).array();
    }

    /** Returns how many leading names and values fit into one message; at least one. */
    static int countThatFits(List<String> names, List<LeaseRecord> values) {
        int remainingBytes = MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES;
        int count = 0;
        while (count < values.size() && count < MAX_COUNT) {
            LeaseRecord value = values.get(count);
            remainingBytes -= VALUE_OVERHEAD_BYTES + names.get(count).length() + value.holder().length()
                    + value.nextHolder().length() + value.note().length();
            if (remainingBytes < 0 && count > 0) {
                break;
            }
            count++;
        }
        return count;
    }

    private static byte[] encode(Encoder encoder) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try {
            encoder.write(new DataOutputStream(bytes));
        } catch (IOException e) {
            throw new IllegalArgumentException("text exceeds 64 KB in UTF-8", e);
        }
        return bytes.toByteArray();
    }

    private static <T> T decode(byte[] bytes, Decoder<T> decoder) {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        try {
            T decoded = decoder.read(in);
            return in.available() > 0 ? null : decoded;
        } catch (IOException | IllegalArgumentException e) {
            return null;
        }
    }

    private static List<String> readNames(DataInputStream in) throws IOException {
        int count = readCount(in);
        List<String> names = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            names.add(readText(in));
        }
        return names;
    }

    private static List<LeaseRecord> readRecords(DataInputStream in) throws IOException {
        int count = readCount(in);
        List<LeaseRecord> records = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            records.add(readRecord(in));
        }
        return records;
    }

    private static int readCount(DataInputStream in) throws IOException {
        int count = in.readUnsignedShort();
        if (count > MAX_COUNT) {
            throw new IOException("element count exceeds its limit");
        }
        return count;
    }

    private static String readText(DataInputStream in) throws IOException {
        String text = in.readUTF();
        if (text.length() > MAX_TEXT_LENGTH) {
            throw new IOException("text exceeds its length limit");
        }
        return text;
    }

    private static long readNonNegative(DataInputStream in) throws IOException {
        long number = in.readLong();
        if (number < 0) {
            throw new IOException("negative number");
        }
        return number;
    }

    private static void writeBallot(DataOutputStream out, Ballot ballot) throws IOException {
        out.writeLong(ballot.round());
        out.writeLong(ballot.processId());
    }

    private static Ballot readBallot(DataInputStream in) throws IOException {
        return new Ballot(readNonNegative(in), in.readLong());
    }

    private static void writeRecord(DataOutputStream out, LeaseRecord value) throws IOException {
        out.writeLong(value.version());
        out.writeLong(value.token());
        out.writeUTF(value.holder());
        out.writeLong(value.processId());
        out.writeLong(value.changeNumber());
        out.writeLong(value.termMicros());
        out.writeUTF(value.nextHolder());
        out.writeLong(value.blockMicros());
        out.writeUTF(value.note());
    }

    private static LeaseRecord readRecord(DataInputStream in) throws IOException {
        return new LeaseRecord(readNonNegative(in), readNonNegative(in), readText(in), in.readLong(),
                in.readLong(), readNonNegative(in), readText(in), readNonNegative(in), readText(in));
    }
}
