package rampshift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.list;

import java.util.List;
import org.junit.jupiter.api.Test;
import rampshift.ServerScript;
import rampshift.TestConnection;
import rampshift.TestPeers;
import rampshift.TestServer;

/** Dispatchers in one process don't share settings. */
class SettingsIsolationTest extends ConnectionTestBase {
    /**
     * The names of two traffic types are swapped in the second dispatcher. A failed task is retried only if
     * the settings of its own dispatcher allow it.
     */
    @Test
    void settingsOfTwoServersInOneProcessDoNotMix() throws Exception {
        ServerScript fails = (task, connection) -> connection.respondStatus(500, "");
        TestServer one = worker(fails);
        TestServer two = worker(fails);
        String known = list(true, one.entry("s-1", IN_SERVICE), two.entry("s-2", IN_SERVICE));
        String settings = TestPeers.configuration(null, known, LIMITS);
        node = new DispatcherServer(parse(settings));
        DispatcherServer other = new DispatcherServer(parse(swapTypes(settings)));
        try {
            node.awaitReady();
            other.awaitReady();
            assertEquals(504, client().sendTask("a1", NON_IDEMPOTENT, "x").read().status());
            assertEquals(504, new TestConnection(other).sendTask("b1", IDEMPOTENT, "x").read().status());
            new TestConnection(other).sendTask("b2", NON_IDEMPOTENT, "x").read();
            client().sendTask("a2", IDEMPOTENT, "x").read();
            assertEquals(List.of(1, 1), List.of(attempts("a1", one, two), attempts("b1", one, two)));
            assertTrue(attempts("a2", one, two) > 1 && attempts("b2", one, two) > 1);
        } finally {
            new Thread(other::stop).start();
        }
    }

    private static String swapTypes(String settings) {
        return settings.replace("\"look\"", "\"?\"").replace("\"sell\"", "\"look\"")
                .replace("\"?\"", "\"sell\"").replace("\"ExpiryMs\":5000", "\"ExpiryMs\":3000");
    }

    private static int attempts(String id, TestServer... workers) {
        int attempts = 0;
        for (TestServer worker : workers) {
            synchronized (worker.received) {
                attempts += (int) worker.received.stream()
                        .filter(message -> id.equals(message.field("X-Txn"))).count();
            }
        }
        return attempts;
    }
}
