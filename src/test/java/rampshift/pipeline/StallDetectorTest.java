package rampshift.pipeline;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.until;

import java.util.concurrent.Callable;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.time.Clock;
import rampshift.time.Span;

/** How a stall of the I/O thread is detected. */
class StallDetectorTest {
    private static final int STALL_MS = 600;
    private static final Span MIN_UNREAD_TIME = Span.ofMillis(500);

    private XnioWorker worker;
    private XnioIoThread thread;

    @BeforeEach
    void startThread() throws Exception {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        thread = worker.getIoThread(0);
    }

    @AfterEach
    void stopThread() {
        worker.shutdownNow();
    }

    private <T> T onThread(Callable<T> action) throws Exception {
        FutureTask<T> task = new FutureTask<>(action);
        thread.execute(task);
        return task.get();
    }

    @Test
    void inputReadAfterStallMayHaveBeenUnreadThroughoutIt() throws Exception {
        StallDetector detector = onThread(() -> new StallDetector(thread, new Clock()));
        Span afterStall = onThread(() -> {
            Thread.sleep(STALL_MS);
            return detector.maxUnreadTime();
        });
        assertTrue(afterStall.longerThan(MIN_UNREAD_TIME), "before any heartbeat: " + afterStall);
        FutureTask<Span> later = new FutureTask<>(detector::maxUnreadTime);
        thread.executeAfter(later, 20, TimeUnit.MILLISECONDS);
        assertTrue(later.get().longerThan(MIN_UNREAD_TIME), "after the late heartbeat: " + later.get());
        until("the heartbeat is in time again", () -> onThread(detector::maxUnreadTime).equals(Span.ZERO));
    }
}
