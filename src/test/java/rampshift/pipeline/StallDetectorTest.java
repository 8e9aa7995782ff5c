package rampshift.pipeline;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.until;

import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import rampshift.IoThreadExtension;
import rampshift.time.Clock;
import rampshift.time.Span;

/** Tests the detection of stalls of the I/O thread. */
class StallDetectorTest {
    private static final int STALL_MS = 600;
    private static final Span MIN_UNREAD_TIME = Span.ofMillis(500);

    @RegisterExtension
    final IoThreadExtension ioThread = new IoThreadExtension();

    @Test
    void inputReadAfterStallMayHaveBeenUnreadThroughoutIt() throws Exception {
        StallDetector detector = ioThread.call(() -> new StallDetector(ioThread.thread(), new Clock()));
        Span afterStall = ioThread.call(() -> {
            Thread.sleep(STALL_MS);
            return detector.maxUnreadTime();
        });
        assertTrue(afterStall.longerThan(MIN_UNREAD_TIME), "before any heartbeat: " + afterStall);
        FutureTask<Span> later = new FutureTask<>(detector::maxUnreadTime);
        ioThread.thread().executeAfter(later, 20, TimeUnit.MILLISECONDS);
        assertTrue(later.get().longerThan(MIN_UNREAD_TIME), "after the late heartbeat: " + later.get());
        until("the heartbeat is in time again",
                () -> ioThread.call(detector::maxUnreadTime).equals(Span.ZERO));
    }
}
