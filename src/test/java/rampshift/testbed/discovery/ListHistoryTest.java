package rampshift.testbed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import rampshift.time.Moment;
import rampshift.time.Span;

class ListHistoryTest {
    private static final WorkerEntry A =
            new WorkerEntry("a", "s", "m", 1, WorkerEntry.State.READY, 4, 0, new int[]{1});
    private static final WorkerEntry B =
            new WorkerEntry("b", "s", "m", 1, WorkerEntry.State.READY, 4, 0, new int[]{2});

    private static String names(List<WorkerEntry> entries) {
        return String.join(" ", entries.stream().map(e -> e.uid() + ":" + e.state()).toList());
    }

    @Test
    void aWatchGetsTheLastStateOfWhatHasChangedAndAStrangerTheWholeList() {
        ListHistory v = new ListHistory(List.of(A, B));
        long first = v.version();
        v.apply(List.of(A.with(WorkerEntry.State.DRAINING)), Moment.ofMillis(1));
        long second = v.version();
        v.apply(List.of(A.with(WorkerEntry.State.GONE)), Moment.ofMillis(2));
        assertEquals("a:GONE", names(v.since(first, v.version())));
        assertEquals("a:GONE", names(v.since(second, v.version())));
        assertEquals("", names(v.since(v.version(), v.version())));
        assertEquals("b:READY", names(v.whole()));
        assertNull(v.since(v.version() + 1, v.version()), "a version that was never given");
        assertNull(v.since(0, v.version()));
    }

    @Test
    void oldNewsIsTheListAsItWas() {
        ListHistory v = new ListHistory(List.of(A));
        v.apply(List.of(B), Moment.ofMillis(100));
        v.apply(List.of(A.with(WorkerEntry.State.GONE)), Moment.ofMillis(200));
        assertEquals("b:READY", names(v.whole(Span.ofMillis(0), Moment.ofMillis(200))));
        assertEquals("a:READY b:READY", names(v.whole(Span.ofMillis(50), Moment.ofMillis(200))));
        assertEquals("a:READY", names(v.whole(Span.ofMillis(150), Moment.ofMillis(200))));
    }
}
