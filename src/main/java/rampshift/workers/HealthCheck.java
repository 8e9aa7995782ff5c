package rampshift.workers;

import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import rampshift.connections.BoundedBuffer;
import rampshift.connections.ResponseHead;
import rampshift.time.IoTimer;

/**
 * Checks the health of a worker by a request for its load, and reports the result once. The worker is
 * unhealthy if the connection fails, no response arrives in time or the status is not 200.
 */
final class HealthCheck extends WorkerExchange {
    private static final int INITIAL_BODY_BYTES = 256;
    private static final int MAX_BODY_BYTES = 4096;
    /** The timeout of a health check as a multiple of the dial timeout. */
    private static final double TIMEOUT_FACTOR = 2;

    private final HealthCheckListener listener;
    private final IoTimer timer;
    private final BoundedBuffer body = new BoundedBuffer(INITIAL_BODY_BYTES, MAX_BODY_BYTES);
    private int status;

    HealthCheck(ConnectionPool pool, WorkerEndpoint endpoint, HealthCheckListener listener) {
        super(pool, endpoint);
        this.listener = listener;
        timer = IoTimer.timeout(pool.thread(), pool.dialTimeout().times(TIMEOUT_FACTOR), pool.readBarrier(),
                this::finishUnhealthy);
    }

    @Override
    ByteBuffer[] message() {
        String text =
                "GET /status/load HTTP/1.1\r\nHost: " + endpoint().address().getHostString() + "\r\n\r\n";
        return new ByteBuffer[]{ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1))};
    }

    @Override
    void onNoConnectionAvailable() {
        finishUnhealthy();
    }

    @Override
    public void onUnreachable(String reason) {
        finishUnhealthy();
    }

    @Override
    public void onHead(ResponseHead head) {
        status = head.status();
    }

    @Override
    public void onBody(byte[] bytes, int offset, int length) {
        body.appendTruncated(bytes, offset, length);
    }

    @Override
    int heldBodyBytes() {
        return body.heldBytes();
    }

    @Override
    void onResponseDropped() {
        finishUnhealthy();
    }

    @Override
    public void onComplete() {
        LoadReport load = null;
        try {
            load = pool().loadReportReader().read(body.array(), body.length());
        } catch (IOException e) {
            logMalformedResponse("a health check response that is not valid JSON");
        }
        finish(status == StatusCodes.OK, load);
    }

    @Override
    public void onFailure(String reason) {
        finishUnhealthy();
    }

    private void finishUnhealthy() {
        finish(false, null);
    }

    private void finish(boolean healthy, LoadReport load) {
        boolean first = markResultReported();
        release();
        timer.cancel();
        if (first) {
            listener.onHealthCheck(endpoint().number(), healthy, load);
        }
    }
}
