package rampshift.clients;

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
import org.xnio.XnioWorker;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * How many connections are opened between two polls. At 6,000 tasks a second, one and a half times what a
 * core carries, a poll came every 25 ms and 16 connections were opened at each: of 7,000 that clients had
 * opened many waited for over 5 s, and 2,769 of 36,004 requests were answered past their deadline.
 */
class TickBudgetTest {
    private static final int PER_POLL = 16;
    private static final long LONGER_THAN_OVERTIME_MS = 8;
    private static final Span LONG_WAIT = Span.ofMillis(1000);

    private final Clock clock = new Clock();
    private XnioWorker worker;
    private TickBudget budget;

    @BeforeEach
    void start() throws Exception {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        budget = onThread(() -> new TickBudget(worker.getIoThread(0), clock, () -> {}));
    }

    @AfterEach
    void stop() {
        worker.shutdownNow();
    }

    private <T> T onThread(Callable<T> work) throws Exception {
        FutureTask<T> task = new FutureTask<>(work);
        worker.getIoThread(0).execute(task);
        return task.get();
    }

    @Test
    void connectionsThatHaveWaitedAreOpenedForSomeTimeMore() throws Exception {
        onThread(() -> {
            Moment longAgo = clock.now().minus(LONG_WAIT);
            useUp();
            assertTrue(budget.tryUse(longAgo), "beyond the number");
            Thread.sleep(LONGER_THAN_OVERTIME_MS);
            assertFalse(budget.tryUse(longAgo), "beyond the time");
            return null;
        });
    }

    @Test
    void connectionsThatHaveJustComeWaitForThePoll() throws Exception {
        onThread(() -> {
            Moment later = clock.now().plus(LONG_WAIT);
            useUp();
            assertFalse(budget.tryUse(later));
            return null;
        });
    }

    private void useUp() {
        for (int i = 0; i < PER_POLL; i++) {
            assertTrue(budget.tryUse(), "within the number");
        }
    }
}
