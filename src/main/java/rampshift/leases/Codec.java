package rampshift.leases;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Messages and records as bytes. Whatever carries them has a checksum of its own; bounds are looked at here.
 */
final class Codec {
    /** Bytes of a message at most. */
    static final int MOST = 1300;
    private static final int NAMES = 200;
    private static final int TEXT = 600;

    private Codec() {}

    private interface Writing {
        void to(DataOutputStream out) throws IOException;
    }

    private interface Reading<T> {
        T from(DataInputStream in) throws IOException;
    }

    private static byte[] bytes(Writing what) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(128);
        try {
            what.to(new DataOutputStream(bytes));
        } catch (IOException e) {
            throw new IllegalArgumentException("text of over 64 KB: " + e.getMessage());
        }
        return bytes.toByteArray();
    }

    /** Null where the bytes are none of it, or more than it. */
    private static <T> T read(byte[] bytes, Reading<T> what) {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
        try {
            T read = what.from(in);
            return in.available() > 0 ? null : read;
        } catch (IOException | IllegalArgumentException e) {
            return null;
        }
    }

    static byte[] write(Message m) {
        return bytes(out -> {
            out.writeByte(m.kind().ordinal());
            out.writeLong(m.number());
            out.writeLong(m.epoch());
            out.writeUTF(m.register());
            ballot(out, m.ballot());
            ballot(out, m.accepted());
            value(out, m.value());
            out.writeShort(m.names().size());
            for (String name : m.names()) {
                out.writeUTF(name);
            }
            out.writeShort(m.values().size());
            for (LeaseRecord value : m.values()) {
                value(out, value);
            }
            out.writeUTF(m.text());
            out.writeLong(m.id());
            out.writeLong(m.boot());
            out.writeLong(m.position());
        });
    }

    static Message message(byte[] bytes) {
        return read(bytes, in -> {
            int kind = in.readUnsignedByte();
            if (kind >= Message.Kind.values().length) {
                throw new IOException("an unknown kind");
            }
            long number = in.readLong();
            long epoch = in.readLong();
            String register = text(in);
            Ballot ballot = ballot(in);
            Ballot accepted = ballot(in);
            LeaseRecord value = value(in);
            List<String> names = new ArrayList<>();
            for (int left = bounded(in); left > 0; left--) {
                names.add(text(in));
            }
            List<LeaseRecord> values = new ArrayList<>();
            for (int left = bounded(in); left > 0; left--) {
                values.add(value(in));
            }
            return new Message(Message.Kind.values()[kind], number, epoch, register, ballot, accepted, value,
                    names, values,
                    text(in), in.readLong(), in.readLong(), in.readLong());
        });
    }

    static byte[] write(AcceptorState s) {
        return bytes(out -> {
            ballot(out, s.promised());
            ballot(out, s.accepted());
            value(out, s.value());
        });
    }

    static AcceptorState slot(byte[] bytes) {
        return read(bytes, in -> new AcceptorState(ballot(in), ballot(in), value(in)));
    }

    /** As many of these as go into one message; at least one. */
    static int fitting(List<LeaseRecord> values, List<String> names) {
        int room = MOST - 200;
        int count = 0;
        while (count < values.size() && count < NAMES) {
            LeaseRecord v = values.get(count);
            room -= 60 + names.get(count).length() + v.holder().length() + v.wanted().length()
                    + v.note().length();
            if (room < 0 && count > 0) {
                break;
            }
            count++;
        }
        return count;
    }

    private static int bounded(DataInputStream in) throws IOException {
        int count = in.readUnsignedShort();
        if (count > NAMES) {
            throw new IOException("a count out of bounds");
        }
        return count;
    }

    private static String text(DataInputStream in) throws IOException {
        String text = in.readUTF();
        if (text.length() > TEXT) {
            throw new IOException("text out of bounds");
        }
        return text;
    }

    private static void ballot(DataOutputStream out, Ballot b) throws IOException {
        out.writeLong(b.round());
        out.writeLong(b.life());
    }

    private static Ballot ballot(DataInputStream in) throws IOException {
        return new Ballot(notNegative(in), in.readLong());
    }

    private static long notNegative(DataInputStream in) throws IOException {
        long number = in.readLong();
        if (number < 0) {
            throw new IOException("a number below 0");
        }
        return number;
    }

    private static void value(DataOutputStream out, LeaseRecord v) throws IOException {
        out.writeLong(v.version());
        out.writeLong(v.token());
        out.writeUTF(v.holder());
        out.writeLong(v.life());
        out.writeLong(v.stamp());
        out.writeLong(v.term());
        out.writeUTF(v.wanted());
        out.writeLong(v.rest());
        out.writeUTF(v.note());
    }

    private static LeaseRecord value(DataInputStream in) throws IOException {
        return new LeaseRecord(notNegative(in), notNegative(in), text(in), in.readLong(), in.readLong(),
                notNegative(in), text(in),
                notNegative(in), text(in));
    }
}
