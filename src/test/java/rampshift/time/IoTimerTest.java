package rampshift.time;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

class IoTimerTest {
    /** The thread is busy while both timers become due, so that XNIO queues them together. */
    @Test
    void timerThatIsCanceledByAnotherDueTimerDoesNotFire() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(
                OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        try {
            XnioIoThread thread = worker.getIoThread(0);
            List<String> fired = Collections.synchronizedList(new ArrayList<>());
            IoTimer[] second = new IoTimer[1];
            FutureTask<Void> work = new FutureTask<>(() -> {
                IoTimer.schedule(thread, Span.ofMillis(1), () -> {
                    fired.add("first");
                    second[0].cancel();
                });
                second[0] = IoTimer.schedule(thread, Span.ofMillis(2), () -> fired.add("second"));
                Thread.sleep(20);
                return null;
            });
            thread.execute(work);
            work.get();
            FutureTask<Void> afterBoth = new FutureTask<>(() -> null);
            thread.executeAfter(afterBoth, 20, TimeUnit.MILLISECONDS);
            afterBoth.get();
            assertEquals(List.of("first"), fired);
        } finally {
            worker.shutdownNow();
        }
    }

    /**
     * Timers that fired a fraction of a millisecond early were rescheduled at once, which took half of all
     * CPU time.
     */
    @ParameterizedTest
    @CsvSource({"-500,0", "0,0", "1,1", "300,1", "1000,1", "1001,2", "1700,2"})
    void delayIsRoundedUpToWholeMilliseconds(long micros, long millis) {
        assertEquals(millis, IoTimer.ceilMillis(new Span(micros)));
    }
}
