package rampshift.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/**
 * Messages as bytes. Each begins with a mark, the format's version and the fleet's number, and ends with a
 * CRC32C over
 * all before; every length and count is bounded before anything is made of it.
 */
final class Codec {
    // bytes at most: fits an Ethernet frame with room for tunnels
    static final int DATAGRAM = 1400;
    static final int WHOLE = 1 << 20;                   // bytes at most of a whole exchange, one way
    static final int MOST_MEMBERS = 2048;               // claims in one message, names kept
    static final int MOST_NEWS = 4096;
    private static final int MARK = 0x5253;
    private static final int VERSION = 1;
    private static final int TEXT = 64;                 // bytes of any name, address, site or build
    private static final int TAIL = 4;
    private static final int NEWS_LEAST = 1 + 8 + 8 + 1;
    private static final int CLAIM_LEAST = 8 * 4 + 2 + 5;

    private final int fleet;

    Codec(String fleet) {
        this.fleet = number(fleet);
    }

    /** What stands for a fleet's name. */
    static int number(String fleet) {
        CRC32 crc = new CRC32();
        crc.update(fleet.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    /** Room that a claim takes, in bytes. */
    static int size(MemberUpdate c) {
        MemberIdentity k = c.card();
        return CLAIM_LEAST + length(k.name()) + length(k.at()) + length(k.site()) + length(k.build())
                + length(c.by());
    }

    static int size(DrainNotice n) {
        return NEWS_LEAST + length(n.worker());
    }

    /** Room left in a datagram beside its frame. */
    static int room(Message bare) {
        return DATAGRAM - (2 + 1 + 1 + 4 + 8 + 3 + 4 + TAIL) - length(bare.from()) - length(bare.to())
                - length(bare.about());
    }

    private static int length(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    byte[] write(Message m) {
        int size = DATAGRAM - room(m);
        for (MemberUpdate c : m.claims()) {
            size += size(c);
        }
        for (DrainNotice n : m.news()) {
            size += size(n);
        }
        ByteBuffer b = ByteBuffer.allocate(size);
        b.putShort((short) MARK).put((byte) VERSION).put((byte) m.kind().ordinal()).putInt(fleet)
                .putLong(m.number());
        text(b, m.from());
        text(b, m.to());
        text(b, m.about());
        b.putShort((short) m.claims().size());
        for (MemberUpdate c : m.claims()) {
            MemberIdentity k = c.card();
            text(b, k.name());
            b.putLong(k.incarnation()).putLong(k.life()).putLong(k.startedMs()).putLong(c.ageMs());
            b.put((byte) k.doing().ordinal()).put((byte) c.belief().ordinal());
            text(b, k.at());
            text(b, k.site());
            text(b, k.build());
            text(b, c.by());
        }
        b.putShort((short) m.news().size());
        for (DrainNotice n : m.news()) {
            text(b, n.worker());
            b.putLong(n.bootMs()).putLong(n.version()).put((byte) n.kind().ordinal());
        }
        b.putInt(sum(b.array(), b.position()));
        return b.array();
    }

    /** Whoever can't be read is refused whole: no part of it is believed. */
    Message read(byte[] bytes, int count) throws MalformedMessageException {
        if (count < 12 + TAIL || count > WHOLE) {
            throw new MalformedMessageException("too short or too long", false);
        }
        ByteBuffer b = ByteBuffer.wrap(bytes, 0, count - TAIL).slice();
        if (b.getShort() != MARK
                || sum(bytes, count - TAIL) != ByteBuffer.wrap(bytes, count - TAIL, TAIL).getInt()) {
            throw new MalformedMessageException("not a message", false);
        }
        if (b.get() != VERSION) {
            throw new MalformedMessageException("another version", true);
        }
        try {
            Message.Kind kind = one(Message.Kind.values(), b.get());
            if (b.getInt() != fleet) {
                throw new MalformedMessageException("another fleet", true);
            }
            long number = b.getLong();
            String from = text(b);
            String to = text(b);
            String about = text(b);
            int claims = count(b, MOST_MEMBERS, CLAIM_LEAST);
            List<MemberUpdate> said = new ArrayList<>(claims);
            for (int i = 0; i < claims; i++) {
                said.add(claim(b));
            }
            int news = count(b, MOST_NEWS, NEWS_LEAST);
            List<DrainNotice> told = new ArrayList<>(news);
            for (int i = 0; i < news; i++) {
                told.add(new DrainNotice(text(b), positive(b), positive(b),
                        one(DrainNotice.Kind.values(), b.get())));
            }
            if (b.hasRemaining() || from.isEmpty()) {
                throw new MalformedMessageException("more or less than it says", false);
            }
            return new Message(kind, number, from, to, about, said, told);
        } catch (BufferUnderflowException e) {
            throw new MalformedMessageException("cut off", false);
        }
    }

    private static MemberUpdate claim(ByteBuffer b) throws MalformedMessageException {
        String name = text(b);
        long incarnation = positive(b);
        long life = b.getLong();
        long started = positive(b);
        long age = positive(b);
        MemberIdentity.Doing doing = one(MemberIdentity.Doing.values(), b.get());
        MemberUpdate.Belief belief = one(MemberUpdate.Belief.values(), b.get());
        MemberIdentity card =
                new MemberIdentity(name, incarnation, life, text(b), text(b), text(b), started, doing);
        if (name.isEmpty() || incarnation > MemberIdentity.MOST || !address(card.at())) {
            throw new MalformedMessageException("a member out of bounds", false);
        }
        return new MemberUpdate(card, belief, text(b), age);
    }

    /** An IPv4 or bracketed IPv6 address with a port; nothing is looked up. */
    static boolean address(String text) {
        int cut = text.lastIndexOf(':');
        if (cut < 1 || !text.substring(cut + 1).matches("\\d{1,5}")
                || Integer.parseInt(text.substring(cut + 1)) > 65535) {
            return false;
        }
        String host = text.substring(0, cut);
        return host.matches(
                "((25[0-5]|2[0-4]\\d|1?\\d?\\d)\\.){3}(25[0-5]|2[0-4]\\d|1?\\d?\\d)|\\[[0-9a-fA-F:.]+\\]");
    }

    private static int count(ByteBuffer b, int most, int least) throws MalformedMessageException {
        int count = b.getShort() & 0xffff;
        if (count > most || (long) count * least > b.remaining()) {
            throw new MalformedMessageException("a count out of bounds", false);
        }
        return count;
    }

    private static long positive(ByteBuffer b) throws MalformedMessageException {
        long value = b.getLong();
        if (value < 0) {
            throw new MalformedMessageException("a number below 0", false);
        }
        return value;
    }

    private static <E> E one(E[] all, byte place) throws MalformedMessageException {
        if (place < 0 || place >= all.length) {
            throw new MalformedMessageException("an unknown kind", false);
        }
        return all[place];
    }

    private static void text(ByteBuffer b, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        b.put((byte) bytes.length).put(bytes);
    }

    private static String text(ByteBuffer b) throws MalformedMessageException {
        int length = b.get() & 0xff;
        if (length > TEXT || length > b.remaining()) {
            throw new MalformedMessageException("text out of bounds", false);
        }
        byte[] bytes = new byte[length];
        b.get(bytes);
        for (byte c : bytes) {
            if (c <= ' ' || c == 127) {
                throw new MalformedMessageException("text that is no name", false);
            }
        }
        return new String(bytes, StandardCharsets.US_ASCII);
    }

    static int sum(byte[] bytes, int count) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, count);
        return (int) crc.getValue();
    }
}
