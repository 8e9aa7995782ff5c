package rampshift.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import rampshift.time.Moment;
import rampshift.time.Span;

class WorkerTableTest {
    private static final int REMEMBERED = 1024;

    private final WorkerTable table = new WorkerTable(0, List.of(), (type, worker) -> true);

    /** Applies a complete list with the workers of these ids. */
    private List<Long> list(EndpointState state, long from, long to) {
        table.beginFullList();
        LongStream.range(from, to)
                .forEach(id -> table.put(new ListedWorker(id, 0, 0, 0, state, new Moment(0), 1)));
        table.endList();
        return table.forgetAbsent();
    }

    /** Guards against keeping each worker that was ever listed. */
    @Test
    void forgetsTheWorkersThatHaveNotBeenReadyForTheLongestTime() {
        list(EndpointState.READY, 0, 100);
        list(EndpointState.DRAINING, 0, 100);
        assertEquals(List.of(), list(EndpointState.READY, 100, 100 + REMEMBERED - 100));
        assertEquals(List.of(), list(EndpointState.READY, 5000, 5001));
        List<Long> forgotten = list(EndpointState.READY, 6000, 6003);
        assertEquals(List.of(0L), forgotten, "one more is absent than are remembered");
        assertNull(table.get(0));
        assertEquals(REMEMBERED + 3, table.all.size());
        assertEquals(3, table.readyCount());
        assertEquals(List.of(1L, 2L, 3L), list(EndpointState.READY, 7000, 7001));
    }

    /** An attempt may still end at a worker that is gone, and its worker may be listed again. */
    @Test
    void keepsWorkersWithAttemptsAndThoseThatAreListedAgain() {
        list(EndpointState.READY, 0, 2);
        TrafficType type = new FakeHost().settings.types.get(FakeHost.IDEMPOTENT);
        Task task =
                new Task(1, type, new TaskRequest(0, 0, Span.ZERO, 1, 0, Span.ofMillis(100)), new Moment(0));
        new Attempt(task, table.get(0), new Moment(0), Span.ZERO, Span.ZERO).markSent();
        list(EndpointState.READY, 10, 11);
        list(EndpointState.READY, 1, 2);
        list(EndpointState.READY, 2000, 2000 + REMEMBERED);
        List<Long> forgotten = list(EndpointState.READY, 9000, 9001);
        assertEquals(List.of(10L, 1L), forgotten.subList(0, 2));
        assertNotNull(table.get(0));
    }
}
