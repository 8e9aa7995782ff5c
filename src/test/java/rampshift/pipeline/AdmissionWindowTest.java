package rampshift.pipeline;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.Callable;
import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.time.Clock;
import rampshift.time.ReadBarrier;

/**
 * How long new tasks may keep the thread. Without a bound, a dispatcher that was offered more than it carries
 * admitted all of it: 2,000 tasks a second at 16 workers, of which 0.1% ended in time.
 */
class AdmissionWindowTest {
    private static final long LONGER_THAN_A_WINDOW_MILLIS = 30;

    private XnioWorker worker;
    private XnioIoThread thread;
    private AdmissionWindow window;

    @BeforeEach
    void start() throws Exception {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        thread = worker.getIoThread(0);
        window = onThread(() -> new AdmissionWindow(thread, new Clock()));
    }

    @AfterEach
    void stop() {
        worker.shutdownNow();
    }

    private <T> T onThread(Callable<T> work) throws Exception {
        FutureTask<T> task = new FutureTask<>(work);
        thread.execute(task);
        return task.get();
    }

    @Test
    void itIsOpenAgainOnceTheSocketsWerePolled() throws Exception {
        assertFalse(onThread(() -> {
            assertTrue(window.isOpen(), "the first task since a poll");
            Thread.sleep(LONGER_THAN_A_WINDOW_MILLIS);
            return window.isOpen();
        }), "the thread was kept for too long");
        FutureTask<Boolean> afterPoll = new FutureTask<>(window::isOpen);
        onThread(() -> {
            new ReadBarrier(thread).run(afterPoll);
            return null;
        });
        assertTrue(afterPoll.get());
    }

    /** What else the thread does between two polls leaves new tasks their time. */
    @Test
    void timeBeforeTheFirstTaskDoesNotCount() throws Exception {
        boolean open = onThread(() -> {
            Thread.sleep(LONGER_THAN_A_WINDOW_MILLIS);
            return window.isOpen();
        });
        assertTrue(open, "no task came before");
    }
}
