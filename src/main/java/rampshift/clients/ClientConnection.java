package rampshift.clients;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.ArrayDeque;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;
import rampshift.time.Moment;

/**
 * One client's connection, and how it stands. Its bytes pass here before Undertow reads them: only a call
 * that
 * is whole and sound is handed on, one at a time. What stalls or cannot be read never gets further.
 */
final class ClientConnection extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** What a client may send ahead of its turn, beside one whole call. */
    private static final int MOST_AHEAD = RequestReader.LARGEST;
    private static final int PIECES = 16;       // read at a time of what must wait or that nobody wants

    final StreamConnection connection;
    private final ClientListener door;
    private final RequestReader reader = new RequestReader();
    /** The call that is handed on to Undertow; null where none is in hand. */
    private ByteBuffer given;
    /** Bytes that came behind a whole call, and how many they are. */
    private final ArrayDeque<Piece> behind = new ArrayDeque<>();
    private int ahead;
    /**
     * When what is read next may have come, if that is known; when the reader's last byte came, and that of
     * the call in hand.
     */
    private Moment cameBy;
    private Moment readUpTo;
    private Moment wholeAt;
    /** A word of ours is being written: no call is handed on before all of it is. */
    private boolean speaking;
    /**
     * It sent more ahead than is kept: what comes is thrown away, and its connection ends with the answer in
     * hand.
     */
    private boolean sentAhead;
    /** Nothing more is read as a call: what comes is thrown away until the client has read its answer. */
    private boolean ending;
    private boolean gone;
    /** Since when it has been connected, idle, sending a call, or ending: its times count from then. */
    Moment since;
    /** How its door has it listed, and since when. */
    ConnectionState listed;
    Moment listedAt;
    /** When bytes last came while it was ending. */
    Moment lastByte;
    /** Bytes of a body that are kept free for it. */
    int claim;
    /** It has sent a whole call. */
    boolean known;
    /** A task of its has been taken. */
    boolean usual;
    /** Whom to tell that it has gone, or sent what is no call behind a call. */
    ClientRequest call;
    boolean watched;

    /** Bytes, and when they may have come at the earliest. */
    private record Piece(ByteBuffer bytes, Moment at) {}

    /** {@code accepted}: what it sends first may have been here since then. */
    ClientConnection(ClientListener door, StreamConnection connection, Moment accepted) {
        super(connection.getSourceChannel().getConduit());
        this.door = door;
        this.connection = connection;
        since = door.now();
        cameBy = accepted;
    }

    /** A call is in hand, and its answer not wholly written. */
    boolean busy() {
        return given != null;
    }

    boolean ending() {
        return ending;
    }

    ConnectionState standing() {
        return gone ? ConnectionState.GONE
                : busy() ? ConnectionState.BUSY
                        : ending ? ConnectionState.ENDING
                                : reader.begun() ? ConnectionState.SENDING
                                        : usual ? ConnectionState.IDLE
                                                : known ? ConnectionState.ASKED : ConnectionState.SILENT;
    }

    /** Its connection ends with the answer to the call in hand. */
    boolean endsNext() {
        return ending || sentAhead;
    }

    /** It is on its way to send a call, or has sent none yet. */
    boolean due() {
        return !busy() && !ending && (!known || reader.begun());
    }

    boolean begun() {
        return reader.begun();
    }

    /**
     * When the last byte of the call in hand was here, however long it waited for its turn: its time counts
     * from then.
     */
    Moment wholeAt() {
        return wholeAt;
    }

    void speaks(boolean on) {
        speaking = on;
    }

    /** The answer to the call in hand is written. */
    void answered(Moment now, boolean last) {
        given = null;
        since = now;
        if (last) {
            end(now);
        }
        door.stands(this);
    }

    void end(Moment now) {
        ending = true;
        given = null;
        dropAhead();
        since = now;
        lastByte = now;
        door.stands(this);
    }

    @Override
    public int read(ByteBuffer to) throws IOException {
        if (ending) {
            return Math.min(0, readOff());
        }
        if (given == null || !given.hasRemaining()) {
            int end = pull();
            if (given == null || !given.hasRemaining()) {
                return end;
            }
        }
        int count = Math.min(to.remaining(), given.remaining());
        int limit = given.limit();
        to.put(given.limit(given.position() + count));
        given.limit(limit);
        return count;
    }

    /**
     * Reads until a call is whole and none is in hand; then, or with nothing more to read, 0. At the end -1,
     * also where a
     * whole call lies before it: one that sent its next call and left looked present, and its task was sent
     * on.
     */
    private int pull() throws IOException {
        int end = -1;
        try {
            end = pullOn();
            return end;
        } finally {
            gone = end < 0;
            door.stands(this);
        }
    }

    private int pullOn() throws IOException {
        try {
            while (true) {
                if (busy() && (sentAhead || reader.whole())) {
                    return readAhead();
                }
                boolean before = reader.begun();
                if (!reader.whole() && behind.isEmpty()) {
                    ByteBuffer scratch = door.scratch();
                    int count = next.read(scratch);
                    if (count <= 0) {
                        cameBy = null;      // what it sends now was not here when it was taken in
                        return count;
                    }
                    readUpTo = came();
                    reader.take(scratch.flip());
                    keep(scratch, readUpTo);
                } else {
                    takeBehind();
                }
                if (!before && known && !busy()) {
                    since = door.now();
                }
                if (!door.claim(this, reader.claim() + ahead)) {
                    if (!busy()) {
                        // Hundreds of clients that stall within large bodies would fill the memory.
                        throw new RequestReader.Unsound(503, "too many bodies are coming in");
                    }
                    tooMuchAhead();     // the call in hand may be running: it is not bounced for this one
                    continue;
                }
                if (!busy() && reader.awaitsWord()) {
                    door.goOn(this);
                }
                if (reader.whole() && !busy()) {
                    if (speaking) {
                        return readAhead();
                    }
                    given = reader.handOver();
                    wholeAt = readUpTo;
                    known = true;
                    door.claim(this, ahead);
                    takeBehind();       // what is no call shows before this one is let through
                    return 0;
                }
            }
        } catch (RequestReader.Unsound e) {
            door.unsound(this, e.status, e.getMessage());
            return 0;
        }
    }

    /** A further whole call waits: what follows it is kept for its turn, and read for its end. */
    private int readAhead() throws IOException {
        for (int i = 0; i < PIECES; i++) {
            ByteBuffer scratch = door.scratch();
            int count = next.read(scratch);
            if (count <= 0) {
                return count;
            }
            if (!sentAhead
                    && (ahead + count > MOST_AHEAD || !door.claim(this, reader.claim() + ahead + count))) {
                tooMuchAhead();
            }
            if (!sentAhead) {
                keep(scratch.flip(), came());
            }
        }
        return 0;
    }

    private void tooMuchAhead() {
        sentAhead = true;
        dropAhead();
        reader.handOver();
        door.sentAhead(this);
    }

    private void keep(ByteBuffer rest, Moment at) {
        if (rest.hasRemaining()) {
            ahead += rest.remaining();
            behind.add(new Piece(ByteBuffer.allocate(rest.remaining()).put(rest).flip(), at));
        }
    }

    private Moment came() {
        Moment at = cameBy == null ? door.cameBy() : cameBy;
        cameBy = null;
        return at;
    }

    /** Has the reader take what came, up to the end of a call. */
    private void takeBehind() throws RequestReader.Unsound {
        while (!reader.whole() && !behind.isEmpty()) {
            Piece piece = behind.peek();
            readUpTo = piece.at();
            int size = piece.bytes().remaining();
            reader.take(piece.bytes());
            ahead -= size - piece.bytes().remaining();
            if (!piece.bytes().hasRemaining()) {
                behind.poll();
            }
        }
    }

    private void dropAhead() {
        behind.clear();
        ahead = 0;
    }

    /**
     * Reads bytes that nobody wants: unread ones would have the close swallow the answer. How many there
     * were, or -1 at the end.
     */
    int readOff() throws IOException {
        int count = next.read(door.scratch());
        if (count > 0) {
            lastByte = door.now();
        } else if (count < 0) {
            gone = true;
            door.stands(this);
        }
        return count;
    }

    /** A further call, or a part of one, has come already. */
    private boolean full() {
        return reader.whole() || !behind.isEmpty();
    }

    /** True if it has gone. */
    boolean gone() throws IOException {
        return (ending ? readOff() : pull()) < 0;
    }

    @Override
    public long read(ByteBuffer[] to, int from, int count) throws IOException {
        for (int i = from; i < from + count; i++) {
            if (to[i].hasRemaining()) {
                return read(to[i]);
            }
        }
        return 0;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public long transferTo(long count, ByteBuffer through, StreamSinkChannel target) throws IOException {
        return Conduits.transfer(this, count, through, target);
    }

    /** What was read ahead is told of like what the socket holds. */
    @Override
    public void resumeReads() {
        if (!busy() && !ending && reader.awaitsWord()) {
            door.goOn(this);    // its turn has come
        }
        if (!ending && given != null && given.hasRemaining()) {
            next.wakeupReads();
            return;
        }
        next.resumeReads();
        if (waitsForItsTurn()) {
            door.readOnNextTurn(this);
        }
    }

    private boolean waitsForItsTurn() {
        return !ending && given == null && !speaking && full();
    }

    /** Its turn has come, unless it came by what the socket holds. */
    void readOn() {
        if (waitsForItsTurn()) {
            next.wakeupReads();
        }
    }
}
