package rampshift.workers;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import rampshift.connections.ResponseHead;
import rampshift.log.Log;
import rampshift.time.IoTimer;
import rampshift.time.Span;

/** Asks a worker how it is. Its answer, or that there is none in time, is told once. */
final class HealthCheck extends WorkerExchange {
    private static final int LONGEST = 4096;
    private static final JsonFactory JSON = new JsonFactory();

    interface Told {
        void echoed(long worker, boolean answered, LoadReport load);
    }

    private final Told out;
    private final IoTimer timer;
    private int status;
    private byte[] bytes = new byte[256];
    private int length;

    HealthCheck(ConnectionPool pool, WorkerEndpoint place, Told out) {
        super(pool, place);
        this.out = out;
        Span most = pool.platform.dialTimeout().times(2);
        timer = IoTimer.in(pool.thread, most, () -> end(false, null));
    }

    @Override
    ByteBuffer[] message() {
        String text = "GET /status/load HTTP/1.1\r\nHost: " + place.address.getHostString() + "\r\n\r\n";
        return new ByteBuffer[]{ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1))};
    }

    @Override
    void noRoom() {
        end(false, null);
    }

    @Override
    public void onUnreachable(String why) {
        end(false, null);
    }

    @Override
    public void onHead(ResponseHead head) {
        status = head.status();
    }

    @Override
    public void onBody(byte[] piece, int from, int count) {
        int kept = Math.min(count, LONGEST - length);
        bytes = length + kept > bytes.length ? Arrays.copyOf(bytes, LONGEST) : bytes;
        System.arraycopy(piece, from, bytes, length, kept);
        length += kept;
    }

    @Override
    public void onComplete() {
        LoadReport load = null;
        try (JsonParser in = JSON.createParser(bytes, 0, length)) {
            load = in.nextToken() == null ? null
                    : LoadReport.read(in, pool.platform.freeSlots(), pool.platform.freeMemory());
        } catch (IOException e) {
            Log.warn("malformed-response", "worker", place.uid, "what", "a probe's answer that is no JSON");
        }
        end(status == 200, load);
    }

    @Override
    public void onFailure(String why) {
        end(false, null);
    }

    private void end(boolean answered, LoadReport load) {
        boolean first = tell();
        over();
        timer.cancel();
        if (first) {
            out.echoed(place.number, answered, load);
        }
    }
}
