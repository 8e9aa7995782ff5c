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
    private static final long CATCH_UP_MILLIS = 1050;
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
    void overloadedThreadAdmitsTasksForTwentyMillisecondsPerPoll() throws Exception {
        assertFalse(ioThread.call(() -> offerTasks(130)), "overloaded for 1.3 s");
        for (int poll = 0; poll < 3; poll++) {
            assertFalse(afterPoll(() -> {
                assertTrue(window.isOpen(), "the first task after a poll");
                return offerTasks(4);
            }), "still overloaded");
        }
    }

    /**
     * All sockets of one poll must find the window open. When the event of a socket reopened it, clients
     * whose sockets were handled before that one were rejected, in an overload the same ones at every poll.
     */
    @Test
    void windowReopensBeforeNextPoll() throws Exception {
        FutureTask<Boolean> beforePoll = new FutureTask<>(window::isOpen);
        ioThread.call(() -> {
            assertFalse(offerTasks(130), "overloaded for 1.3 s");
            ioThread.thread().execute(beforePoll);
            return null;
        });
        assertTrue(beforePoll.get());
    }

    @Test
    void shortBurstIsAdmittedWhole() throws Exception {
        assertTrue(ioThread.call(() -> offerTasks(10)));
        assertTrue(afterPoll(window::isOpen));
    }

    /** After the overload has ended, the next burst is admitted whole. */
    @Test
    void burstAfterOverloadIsAdmittedWhole() throws Exception {
        assertFalse(ioThread.call(() -> offerTasks(130)), "overloaded for 1.3 s");
        afterPoll(() -> {
            Thread.sleep(CATCH_UP_MILLIS);
            return null;
        });
        assertTrue(afterPoll(() -> offerTasks(10)));
    }

    /**
     * The responses to admitted tasks take 1 s between two windows. No window must be taken for the first one
     * of a new burst.
     */
    @Test
    void workBetweenWindowsDoesNotEndOverload() throws Exception {
        List<Boolean> lastWasAdmitted = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(3);
        ioThread.call(() -> {
            offerTasks(130);
            NextTick tick = new NextTick(ioThread.thread());
            tick.run(() -> handleResponsesAndOfferTasks(tick, lastWasAdmitted, done));
            return null;
        });
        assertTrue(done.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(List.of(false, false, false), lastWasAdmitted, "still overloaded at each poll");
    }

    /** Requests the next tick first, so that no poll passes without work. */
    private void handleResponsesAndOfferTasks(NextTick tick, List<Boolean> lastWasAdmitted,
            CountDownLatch done) {
        if (done.getCount() > 1) {
            tick.run(() -> handleResponsesAndOfferTasks(tick, lastWasAdmitted, done));
        }
        try {
            Thread.sleep(CATCH_UP_MILLIS);
            lastWasAdmitted.add(offerTasks(4));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        done.countDown();
    }

    /** Offers tasks that take 10 ms each, and returns whether the last one was admitted. */
    private boolean offerTasks(int tasks) throws InterruptedException {
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
