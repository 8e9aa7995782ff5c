package rampshift.workers;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.Supplier;
import rampshift.connections.ResponseHead;
import rampshift.counters.Counters;
import rampshift.log.Log;
import rampshift.policy.AttemptOutcome;
import rampshift.time.IoTimer;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * One sending of a task to a worker, until its outcome is known. Whether the last byte was written decides
 * between "never ran" and "may have run".
 */
public final class AttemptExchange extends WorkerExchange {
    private static final int LONGEST = 64 * 1024;
    private static final double LEAST_HOLD = 0.02;     // of the time that a dial may take
    private static final double MOST_HOLD = 0.1;
    private static final JsonFactory JSON = new JsonFactory();

    /** Who is told; {@code ended} comes once, and last. */
    public interface Told {
        /**
         * Whether its client still waits: asked before the first byte goes out, and before a last one that
         * was held back.
         */
        boolean isStillWanted();

        void onStarted();

        void onProgress(double share);

        void onLoadReport(long worker, LoadReport load);

        /** The result is null unless it finished. */
        void onOutcome(AttemptOutcome outcome, byte[] result);
    }

    private final String txn;
    /** It must not run twice, so it should be known as often as can be that it did not. */
    private final boolean once;
    /** Nothing of it goes out from then on. */
    private final Moment expiry;
    private final Supplier<ByteBuffer[]> message;
    private final Told out;
    private final IoTimer timeout;
    private boolean written;
    private int status;
    private byte[] line = new byte[1024];
    private int length;

    AttemptExchange(ConnectionPool pool, WorkerEndpoint place, String txn, boolean once, Moment expiry,
            Supplier<ByteBuffer[]> message,
            Span timeout, Told out) {
        super(pool, place);
        this.once = once;
        this.expiry = expiry;
        this.txn = txn;
        this.message = message;
        this.out = out;
        this.timeout = timeout.micros() <= 0 ? null
                : IoTimer.in(pool.thread, timeout,
                        () -> callOff(written ? AttemptOutcome.TIMED_OUT : AttemptOutcome.NOT_SENT));
    }

    @Override
    ByteBuffer[] message() {
        return message.get();
    }

    @Override
    boolean wantsNew() {
        return once && pool.staleOnes();
    }

    /** "Turned away", said twice of the task before, would be taken for a word on this one, which runs. */
    @Override
    Span quiet() {
        return once ? pool.platform.dialTimeout().times(MOST_HOLD) : Span.ZERO;
    }

    /** A reset takes as long as an answer at the least. Kept connections that were reset cost a task each. */
    @Override
    Span hold() {
        return once ? place.quickest.orLonger(pool.platform.dialTimeout().times(LEAST_HOLD))
                .orShorter(pool.platform.dialTimeout().times(MOST_HOLD)) : Span.ZERO;
    }

    /** Closes its connection; the outcome is told if none was before. */
    public void cancel() {
        callOff(written ? AttemptOutcome.CALLED_OFF : AttemptOutcome.NOT_SENT);
    }

    private void callOff(AttemptOutcome outcome) {
        if (!told()) {
            pool.counters.add(Counters.Name.ATTEMPTS_CANCELED);
            end(outcome, null);
        }
    }

    /**
     * A drain or another address may have been told while the connection was made, or its client have left.
     */
    @Override
    public boolean mayWriteFirstByte() {
        pool.beforeFirstByte.run();
        boolean may = place.ready && current() && inTime() && out.isStillWanted();
        if (!may) {
            pool.counters.add(Counters.Name.ATTEMPTS_WITHHELD);
            end(AttemptOutcome.NOT_SENT, null);
        }
        return may;
    }

    /** This process may have stood still while the connection was made, or while the last byte was held. */
    private boolean inTime() {
        return pool.now().before(expiry);
    }

    @Override
    public boolean mayWriteLastByte() {
        boolean may = inTime() && out.isStillWanted();
        if (!may) {
            end(AttemptOutcome.NOT_SENT, null);
        }
        return may;
    }

    @Override
    public void onRequestWritten() {
        written = true;
    }

    @Override
    void noRoom() {
        end(AttemptOutcome.NOT_SENT, null);
    }

    @Override
    public void onUnreachable(String why) {
        pool.counters.add(Counters.Name.DIALS_FAILED);
        end(AttemptOutcome.NO_CONNECTION, null);
    }

    @Override
    public void onHead(ResponseHead head) {
        status = head.status();
        Span after = answeredAfter();
        place.quickest = place.quickest.micros() == 0 ? after : place.quickest.orShorter(after);
        if (status == 200) {
            return;
        }
        String load = head.field("X-Pressure");
        if (load != null) {
            headerLoad(load);
        }
        boolean away = (status == 503 || status == 504) && "1".equals(head.field("X-Turned-Away"));
        if (!away && status != 500) {
            odd("status " + status);
        }
        tell(away ? AttemptOutcome.FULL : AttemptOutcome.ERRED, null);
    }

    private void headerLoad(String text) {
        try (JsonParser in = JSON.createParser(text)) {
            in.nextToken();
            LoadReport load = LoadReport.read(in, pool.platform.freeSlots(), pool.platform.freeMemory());
            if (load != null) {
                out.onLoadReport(place.number, load);
            }
        } catch (IOException e) {
            odd("a load report that is no JSON");
        }
    }

    @Override
    public void onBody(byte[] bytes, int from, int count) {
        if (status != 200 || told()) {
            return;
        }
        for (int i = from; i < from + count && !told(); i++) {
            if (bytes[i] == '\n') {
                line();
            } else if (length == LONGEST) {
                odd("a line over " + LONGEST + " bytes");
                end(AttemptOutcome.ERRED, null);
            } else {
                if (length == line.length) {
                    line = Arrays.copyOf(line, length * 2);
                }
                line[length++] = bytes[i];
            }
        }
    }

    private void line() {
        int size = length;
        length = 0;
        if (size == 0 || size == 1 && line[0] == '\r') {
            return;
        }
        ProgressMessage note;
        try {
            note = ProgressMessage.read(line, size, pool.platform.freeSlots(), pool.platform.freeMemory());
        } catch (IOException e) {
            odd("a line that is no JSON object");
            end(AttemptOutcome.BROKEN, null);
            return;
        }
        boolean tells = "done".equals(note.state) || "returned".equals(note.state);
        if (note.id == null ? tells : !note.id.equals(txn)) {
            odd("a line for another task");
            end(AttemptOutcome.BROKEN, null);
            return;
        }
        if (note.from != null && !note.from.equals(place.uid)) {
            odd("a line from " + note.from);
        }
        if (note.load != null) {
            out.onLoadReport(place.number, note.load);
        }
        state(note);
    }

    private void state(ProgressMessage note) {
        switch (note.state == null ? "" : note.state) {
            case "started" -> out.onStarted();
            case "running" -> {
                if (note.share > 0 && note.share <= 1) {
                    out.onProgress(note.share);
                }
            }
            case "done" -> tell(AttemptOutcome.FINISHED, note.result);
            case "failed" -> tell(AttemptOutcome.ERRED, null);
            case "returned" -> tell(AttemptOutcome.FULL, null);
            case "lost" -> tell(AttemptOutcome.BROKEN, null);
            default -> odd("the unknown state " + note.state);
        }
    }

    @Override
    public void onComplete() {
        if (!told() && length > 0) {
            line();
        }
        end(AttemptOutcome.BROKEN, null);
    }

    @Override
    public void onFailure(String why) {
        boolean stale = status == 0 && stale();
        // What befalls a kept connection tells nothing of its worker: the best ones were set aside for it.
        end(written ? stale ? AttemptOutcome.STALE : AttemptOutcome.BROKEN
                : stale ? AttemptOutcome.NOT_SENT : AttemptOutcome.NO_CONNECTION, null);
    }

    private void odd(String what) {
        pool.counters.add(Counters.Name.MALFORMED_RESPONSES);
        Log.warn("malformed-response", "worker", place.uid, "what", what);
    }

    /** Tells the outcome while the rest of the answer is still to come. */
    private void tell(AttemptOutcome outcome, byte[] result) {
        if (tell()) {
            giveTimerBack();
            linger();
            out.onOutcome(outcome, result);
        }
    }

    private void end(AttemptOutcome outcome, byte[] result) {
        boolean first = tell();
        over();
        if (first) {
            giveTimerBack();
            out.onOutcome(outcome, result);
        }
    }

    private void giveTimerBack() {
        if (timeout != null) {
            timeout.cancel();
        }
    }
}
