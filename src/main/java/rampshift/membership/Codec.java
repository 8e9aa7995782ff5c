package rampshift.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes messages. Each begins with a magic number, the version of the format, its kind and the
 * number of the fleet, and ends with a CRC32C over all preceding bytes. Every length and count is checked
 * before it is used; a message that can't be decoded is rejected as a whole.
 */
final class Codec {
    /** The maximum size of a datagram; fits into an Ethernet frame and leaves room for tunnel headers. */
    static final int MAX_DATAGRAM_BYTES = 1400;
    /** The maximum size of a sync request or response. */
    static final int MAX_SYNC_BYTES = 1 << 20;
    /** The maximum number of members in one message, and of other members in the view of a member. */
    static final int MAX_MEMBERS = 2048;
    /** The maximum number of drain notices in one message, and of those that a member keeps. */
    static final int MAX_DRAIN_NOTICES = 4096;
    /** The maximum size of a name, address, site or build. */
    static final int MAX_TEXT_BYTES = 64;

    private static final short MAGIC = 0x5253;
    private static final byte VERSION = 1;
    private static final int MAX_PORT = 65535;
    private static final Pattern PORT = Pattern.compile("\\d{1,5}");
    private static final Pattern HOST = Pattern.compile(
            "((25[0-5]|2[0-4]\\d|1?\\d?\\d)\\.){3}(25[0-5]|2[0-4]\\d|1?\\d?\\d)|\\[[0-9a-fA-F:.]+\\]");

    /** Magic number, version and kind. */
    private static final int PREFIX_BYTES = Short.BYTES + Byte.BYTES + Byte.BYTES;
    private static final int CHECKSUM_BYTES = Integer.BYTES;
    /** The size of the header with three empty texts, of two counts of 0 and of the checksum. */
    private static final int EMPTY_MESSAGE_BYTES = PREFIX_BYTES + Integer.BYTES + Long.BYTES + 3 * Byte.BYTES
            + 2 * Short.BYTES + CHECKSUM_BYTES;
    /** The size below which input is rejected before any field is read. */
    private static final int MIN_MESSAGE_BYTES = 12 + CHECKSUM_BYTES;
    /** The size of a notice: an empty worker name, start time, list version and kind. */
    private static final int MIN_DRAIN_NOTICE_BYTES = Byte.BYTES + 2 * Long.BYTES + Byte.BYTES;
    /** The size of an update: four numbers, phase and status, and five empty texts. */
    private static final int MIN_UPDATE_BYTES = 4 * Long.BYTES + 2 * Byte.BYTES + 5 * Byte.BYTES;

    private final int fleet;

    Codec(String fleetName) {
        fleet = fleetNumber(fleetName);
    }

    /** Returns the number that represents a fleet's name on the wire. */
    static int fleetNumber(String fleetName) {
        CRC32 crc = new CRC32();
        crc.update(fleetName.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }

    /** Returns the encoded size of an update in bytes. */
    static int sizeOf(MemberUpdate update) {
        MemberIdentity member = update.member();
        return MIN_UPDATE_BYTES + textBytes(member.name()) + textBytes(member.address())
                + textBytes(member.site())
                + textBytes(member.build()) + textBytes(update.reportedBy());
    }

    /** Returns the encoded size of a drain notice in bytes. */
    static int sizeOf(DrainNotice notice) {
        return MIN_DRAIN_NOTICE_BYTES + textBytes(notice.worker());
    }

    /** Returns the bytes left for updates and notices in a datagram with this sender, receiver and body. */
    static int piggybackCapacity(String from, String to, MessageBody body) {
        return MAX_DATAGRAM_BYTES - headerBytes(from, to, body);
    }

    private static int headerBytes(String from, String to, MessageBody body) {
        return EMPTY_MESSAGE_BYTES + textBytes(from) + textBytes(to) + textBytes(body.target());
    }

    private static int textBytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    /** Returns the CRC32C of the first bytes of an array. */
    static int checksum(byte[] bytes, int count) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, count);
        return (int) crc.getValue();
    }

    byte[] encode(Message message) {
        int size = headerBytes(message.from(), message.to(), message.body());
        for (MemberUpdate update : message.updates()) {
            size += sizeOf(update);
        }
        for (DrainNotice notice : message.drainNotices()) {
            size += sizeOf(notice);
        }
        ByteBuffer buffer = ByteBuffer.allocate(size);
        putHeader(buffer, message);
        buffer.putShort((short) message.updates().size());
        message.updates().forEach(update -> putUpdate(buffer, update));
        buffer.putShort((short) message.drainNotices().size());
        message.drainNotices().forEach(notice -> putDrainNotice(buffer, notice));
        buffer.putInt(checksum(buffer.array(), buffer.position()));
        return buffer.array();
    }

    private void putHeader(ByteBuffer buffer, Message message) {
        MessageBody body = message.body();
        buffer.putShort(MAGIC);
        buffer.put(VERSION);
        buffer.put(body.kind().wireCode());
        buffer.putInt(fleet);
        buffer.putLong(body.sequence());
        putText(buffer, message.from());
        putText(buffer, message.to());
        putText(buffer, body.target());
    }

    private static void putUpdate(ByteBuffer buffer, MemberUpdate update) {
        MemberIdentity member = update.member();
        putText(buffer, member.name());
        buffer.putLong(member.incarnation());
        buffer.putLong(member.processId());
        buffer.putLong(member.startedAtMs());
        buffer.putLong(update.ageMs());
        buffer.put(member.phase().wireCode());
        buffer.put(update.status().wireCode());
        putText(buffer, member.address());
        putText(buffer, member.site());
        putText(buffer, member.build());
        putText(buffer, update.reportedBy());
    }

    private static void putDrainNotice(ByteBuffer buffer, DrainNotice notice) {
        putText(buffer, notice.worker());
        buffer.putLong(notice.startedAtMs());
        buffer.putLong(notice.listVersion());
        buffer.put(notice.kind().wireCode());
    }

    private static void putText(ByteBuffer buffer, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        buffer.put((byte) bytes.length);
        buffer.put(bytes);
    }

    /** Decodes the first bytes of an array; throws if they are not a message of this fleet and version. */
    Message decode(byte[] bytes, int count) throws MalformedMessageException {
        if (count < MIN_MESSAGE_BYTES || count > MAX_SYNC_BYTES) {
            throw MalformedMessageException.malformed("too short or too long");
        }
        int contentBytes = count - CHECKSUM_BYTES;
        WireReader reader = new WireReader(ByteBuffer.wrap(bytes, 0, contentBytes).slice());
        int expectedChecksum = ByteBuffer.wrap(bytes, contentBytes, CHECKSUM_BYTES).getInt();
        if (reader.readShort() != MAGIC || checksum(bytes, contentBytes) != expectedChecksum) {
            throw MalformedMessageException.malformed("wrong magic number or checksum");
        }
        if (reader.readByte() != VERSION) {
            throw MalformedMessageException.foreign("another version");
        }
        try {
            return readMessage(reader);
        } catch (BufferUnderflowException e) {
            throw MalformedMessageException.malformed("truncated");
        }
    }

    private Message readMessage(WireReader reader) throws MalformedMessageException {
        MessageKind kind = reader.readCoded(MessageKind.values());
        if (reader.readInt() != fleet) {
            throw MalformedMessageException.foreign("another fleet");
        }
        long sequence = reader.readLong();
        String from = reader.readText();
        String to = reader.readText();
        String target = reader.readText();
        List<MemberUpdate> updates = readUpdates(reader);
        List<DrainNotice> notices = readDrainNotices(reader);
        if (reader.hasRemaining() || from.isEmpty()) {
            throw MalformedMessageException.malformed("bytes after the end, or no sender");
        }
        return new Message(from, to, kind.body(sequence, target), updates, notices);
    }

    private static List<MemberUpdate> readUpdates(WireReader reader) throws MalformedMessageException {
        int count = reader.readCount(MAX_MEMBERS, MIN_UPDATE_BYTES);
        List<MemberUpdate> updates = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            updates.add(readUpdate(reader));
        }
        return updates;
    }

    private static MemberUpdate readUpdate(WireReader reader) throws MalformedMessageException {
        String name = reader.readText();
        long incarnation = reader.readNonNegativeLong();
        long processId = reader.readLong();
        long startedAtMs = reader.readNonNegativeLong();
        long ageMs = reader.readNonNegativeLong();
        MemberIdentity.Phase phase = reader.readCoded(MemberIdentity.Phase.values());
        MemberUpdate.Status status = reader.readCoded(MemberUpdate.Status.values());
        String address = reader.readText();
        String site = reader.readText();
        String build = reader.readText();
        if (name.isEmpty() || incarnation > MemberIdentity.MAX_INCARNATION || !isAddress(address)) {
            throw MalformedMessageException.malformed("member with an invalid name, incarnation or address");
        }
        MemberIdentity member =
                new MemberIdentity(name, incarnation, processId, address, site, build, startedAtMs,
                        phase);
        return new MemberUpdate(member, status, reader.readText(), ageMs);
    }

    private static List<DrainNotice> readDrainNotices(WireReader reader) throws MalformedMessageException {
        int count = reader.readCount(MAX_DRAIN_NOTICES, MIN_DRAIN_NOTICE_BYTES);
        List<DrainNotice> notices = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            String worker = reader.readText();
            long startedAtMs = reader.readNonNegativeLong();
            long listVersion = reader.readNonNegativeLong();
            DrainNotice.Kind kind = reader.readCoded(DrainNotice.Kind.values());
            notices.add(new DrainNotice(worker, startedAtMs, listVersion, kind));
        }
        return notices;
    }

    /** Returns whether the text is an IPv4 or bracketed IPv6 address with a port; host names are not. */
    private static boolean isAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            return false;
        }
        String port = text.substring(colon + 1);
        return PORT.matcher(port).matches() && Integer.parseInt(port) <= MAX_PORT
                && HOST.matcher(text.substring(0, colon)).matches();
    }
}
