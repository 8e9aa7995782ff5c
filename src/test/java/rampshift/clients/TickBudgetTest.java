package rampshift.clients;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import rampshift.IoThreadExtension;
import rampshift.time.Clock;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * The number of connections that are opened between two polls. With a fixed number of 16, connections wait
 * for too long during overload: at 6,000 tasks a second, one and a half times the capacity of a core, there
 * is one poll every 25 ms, many of 7,000 connections wait for over 5 s, and 2,769 of 36,004 requests are
 * answered after their deadline.
 */
class TickBudgetTest {
    private static final int PER_POLL = 16;
    private static final long LONGER_THAN_EXTRA_TIME_MS = 8;
    private static final Span LONG_WAIT = Span.ofMillis(1000);

    private final Clock clock = new Clock();
    @RegisterExtension
    final IoThreadExtension ioThread = new IoThreadExtension();
    private TickBudget budget;

    @BeforeEach
    void createBudget() throws Exception {
        budget = ioThread.call(() -> new TickBudget(ioThread.thread(), clock, () -> {}));
    }

    @Test
    void waitingConnectionsAreOpenedForSomeExtraTime() throws Exception {
        ioThread.call(() -> {
            Moment longAgo = clock.now().minus(LONG_WAIT);
            useUp();
            assertTrue(budget.tryUse(longAgo), "a connection that has waited may exceed the number");
            Thread.sleep(LONGER_THAN_EXTRA_TIME_MS);
            assertFalse(budget.tryUse(longAgo), "not after the extra time");
            return null;
        });
    }

    @Test
    void newConnectionsWaitForTheNextPoll() throws Exception {
        ioThread.call(() -> {
            Moment later = clock.now().plus(LONG_WAIT);
            useUp();
            assertFalse(budget.tryUse(later));
            return null;
        });
    }

    private void useUp() {
        for (int i = 0; i < PER_POLL; i++) {
            assertTrue(budget.tryUse(), "the budget is not used up");
        }
    }
}
