package rampshift.time;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

class IoTimerTest {
    /** The thread was at something else while both became due, so that they are in its queue together. */
    @Test
    void oneOfTwoThatAreDueTogetherTurnsTheOtherOff() throws Exception {
        XnioWorker xnio = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        try {
            XnioIoThread thread = xnio.getIoThread(0);
            List<String> rang = Collections.synchronizedList(new ArrayList<>());
            IoTimer[] second = new IoTimer[1];
            FutureTask<Void> work = new FutureTask<>(() -> {
                IoTimer.in(thread, Span.ofMillis(1), () -> {
                    rang.add("first");
                    second[0].cancel();
                });
                second[0] = IoTimer.in(thread, Span.ofMillis(2), () -> rang.add("second"));
                Thread.sleep(20);
                return null;
            });
            thread.execute(work);
            work.get();
            FutureTask<Void> after = new FutureTask<>(() -> null);
            thread.executeAfter(after, 20, java.util.concurrent.TimeUnit.MILLISECONDS);
            after.get();
            assertEquals(List.of("first"), rang);
        } finally {
            xnio.shutdownNow();
        }
    }

    /**
     * Met as half of all CPU time: timers that came a part of a millisecond early were asked for again at
     * once.
     */
    @ParameterizedTest
    @CsvSource({"-500,0", "0,0", "1,1", "300,1", "1000,1", "1001,2", "1700,2"})
    void oneThatIsNotToBeEarlyIsNot(long micros, long millis) {
        assertEquals(millis, IoTimer.wholeMillis(new Span(micros)));
    }
}
