package rampshift.pipeline;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.until;

import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.time.Clock;
import rampshift.time.Span;

class StallDetectorTest {
    @Test
    void whatIsReadAfterAStallMayHaveLainUnreadForAllOfIt() throws Exception {
        XnioWorker xnio = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        try {
            XnioIoThread thread = xnio.getIoThread(0);
            StallDetector[] pulse = new StallDetector[1];
            FutureTask<Void> made =
                    new FutureTask<>(() -> pulse[0] = new StallDetector(thread, new Clock()), null);
            thread.execute(made);
            made.get();
            FutureTask<Span> after = new FutureTask<>(() -> {
                Thread.sleep(600);
                return pulse[0].maxUnreadTime();
            });
            thread.execute(after);
            assertTrue(after.get().longerThan(Span.ofMillis(500)), "before any beat: " + after.get());
            FutureTask<Span> next = new FutureTask<>(() -> pulse[0].maxUnreadTime());
            thread.executeAfter(next, 20, java.util.concurrent.TimeUnit.MILLISECONDS);
            assertTrue(next.get().longerThan(Span.ofMillis(500)), "after the late beat: " + next.get());
            until("it is in time again", () -> {
                FutureTask<Span> now = new FutureTask<>(() -> pulse[0].maxUnreadTime());
                thread.execute(now);
                return now.get().equals(Span.ZERO);
            });
        } finally {
            xnio.shutdownNow();
        }
    }
}
