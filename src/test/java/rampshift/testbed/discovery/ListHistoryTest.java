package rampshift.testbed.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import rampshift.time.Moment;

class ListHistoryTest {
    private static final WorkerEntry ENTRY_A =
            new WorkerEntry("a", "s", "m", 1, WorkerEntry.State.READY, 4, 0, List.of(1));
    private static final WorkerEntry ENTRY_B =
            new WorkerEntry("b", "s", "m", 1, WorkerEntry.State.READY, 4, 0, List.of(2));

    private static String describe(List<WorkerEntry> entries) {
        return String.join(" ", entries.stream().map(entry -> entry.uid() + ":" + entry.state()).toList());
    }

    private static String changesSince(long known, ListHistory history) {
        return describe(history.changesBetween(known, history.version()).orElseThrow());
    }

    @Test
    void changesSinceKnownVersionAreReturnedAndUnknownVersionGivesNone() {
        ListHistory history = new ListHistory(List.of(ENTRY_A, ENTRY_B));
        long first = history.version();
        history.apply(List.of(ENTRY_A.withState(WorkerEntry.State.DRAINING)), Moment.ofMillis(1));
        long second = history.version();
        history.apply(List.of(ENTRY_A.withState(WorkerEntry.State.GONE)), Moment.ofMillis(2));
        long third = history.version();
        assertEquals("a:GONE", changesSince(first, history));
        assertEquals("a:GONE", changesSince(second, history));
        assertEquals("", changesSince(third, history));
        assertEquals("b:READY", describe(history.entries()));
        assertEquals(Optional.empty(), history.changesBetween(third + 1, third),
                "a version later than the latest one");
        assertEquals(Optional.empty(), history.changesBetween(0, third));
    }

    @Test
    void pastListIsListAtThatTime() {
        ListHistory history = new ListHistory(List.of(ENTRY_A));
        history.apply(List.of(ENTRY_B), Moment.ofMillis(100));
        history.apply(List.of(ENTRY_A.withState(WorkerEntry.State.GONE)), Moment.ofMillis(200));
        assertEquals("b:READY", describe(history.entriesAt(Moment.ofMillis(200))));
        assertEquals("a:READY b:READY", describe(history.entriesAt(Moment.ofMillis(150))));
        assertEquals("a:READY", describe(history.entriesAt(Moment.ofMillis(50))));
    }
}
