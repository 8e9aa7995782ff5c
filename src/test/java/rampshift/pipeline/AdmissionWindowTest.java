package rampshift.pipeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import rampshift.IoThreadExtension;
import rampshift.time.Clock;
import rampshift.time.NextTick;
import rampshift.time.ReadBarrier;

/**
 * Tests the limit of the time that new tasks take of the I/O thread. Without it, an overloaded dispatcher
 * admitted all tasks: 0.1% of 2,000 tasks a second at 16 workers ended in time.
 */
class AdmissionWindowTest {
    private static final long TASK_MILLIS = 10;
    private static final long CAUGHT_UP_MILLIS = 1050;
    private static final long TIMEOUT_SECONDS = 20;

    @RegisterExtension
    final IoThreadExtension ioThread = new IoThreadExtension();
    private AdmissionWindow window;

    @BeforeEach
    void createWindow() throws Exception {
        window = ioThread.call(() -> new AdmissionWindow(ioThread.thread(), new Clock()));
    }

    @AfterEach
    void closeWindow() throws Exception {
        ioThread.call(() -> {
            window.close();
            return null;
        });
    }

    /** Offers 130 tasks of 10 ms each in one window, and more after each poll of the sockets. */
    @Test
    void aThreadThatStaysBehindTakesTasksForTwentyMillisecondsAPoll() throws Exception {
        assertFalse(ioThread.call(() -> keepBusy(130)), "overloaded for 1.3 s");
        for (int poll = 0; poll < 3; poll++) {
            assertFalse(afterPoll(() -> {
                assertTrue(window.isOpen(), "the first task after a poll");
                return keepBusy(4);
            }), "still overloaded");
        }
    }

    /**
     * All sockets of one poll must find the window open. When the event of a socket reopened it, clients
     * whose sockets were handled before that one were rejected, in an overload the same ones at every poll.
     */
    @Test
    void theWindowIsOpenAgainBeforeThePoll() throws Exception {
        FutureTask<Boolean> beforePoll = new FutureTask<>(window::isOpen);
        ioThread.call(() -> {
            assertFalse(keepBusy(130), "overloaded for 1.3 s");
            ioThread.thread().execute(beforePoll);
            return null;
        });
        assertTrue(beforePoll.get());
    }

    @Test
    void aBurstThatIsSoonOverIsTakenWhole() throws Exception {
        assertTrue(ioThread.call(() -> keepBusy(10)));
        assertTrue(afterPoll(window::isOpen));
    }

    /** After the overload has ended, the next burst is admitted whole. */
    @Test
    void aThreadThatHasCaughtUpTakesTheNextBurst() throws Exception {
        assertFalse(ioThread.call(() -> keepBusy(130)), "overloaded for 1.3 s");
        afterPoll(() -> {
            Thread.sleep(CAUGHT_UP_MILLIS);
            return null;
        });
        assertTrue(afterPoll(() -> keepBusy(10)));
    }

    /**
     * The responses to admitted tasks take 1 s between two windows. No window must be taken for the first one
     * of a new burst.
     */
    @Test
    void workBetweenTwoWindowsDoesNotEndAnOverload() throws Exception {
        List<Boolean> lastWasTaken = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(3);
        ioThread.call(() -> {
            keepBusy(130);
            NextTick tick = new NextTick(ioThread.thread());
            tick.run(() -> respondAndKeepBusy(tick, lastWasTaken, done));
            return null;
        });
        assertTrue(done.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(List.of(false, false, false), lastWasTaken, "still overloaded at each poll");
    }

    /** Requests the next tick first, so that no poll passes without work. */
    private void respondAndKeepBusy(NextTick tick, List<Boolean> lastWasTaken, CountDownLatch done) {
        if (done.getCount() > 1) {
            tick.run(() -> respondAndKeepBusy(tick, lastWasTaken, done));
        }
        try {
            Thread.sleep(CAUGHT_UP_MILLIS);
            lastWasTaken.add(keepBusy(4));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        done.countDown();
    }

    /** Offers tasks that take 10 ms each, and returns whether the last one was admitted. */
    private boolean keepBusy(int tasks) throws InterruptedException {
        boolean open = true;
        for (int i = 0; i < tasks; i++) {
            open = window.isOpen();
            Thread.sleep(TASK_MILLIS);
        }
        return open;
    }

    private <T> T afterPoll(Callable<T> work) throws Exception {
        FutureTask<T> task = new FutureTask<>(work);
        ioThread.call(() -> {
            new ReadBarrier(ioThread.thread()).run(task);
            return null;
        });
        return task.get();
    }
}
