package rampshift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.until;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import rampshift.TestConnection;
import rampshift.TestServer;
import rampshift.time.NextTick;

/**
 * How soon the dispatcher drops a task whose client has disconnected. The operators allow 300 ms, after which
 * no attempt may be sent to a worker, however many clients disconnect at the same time.
 */
class ClientDepartureTimeTest extends ConnectionTestBase {
    private static final int CLIENTS = 300;
    private static final int MAX_POLLS = 2;
    /** Minimum number of clients that disconnect with a task that was not rejected for lack of time. */
    private static final int MIN_CLIENTS_GONE = 50;
    private static final int TIMEOUT_SECONDS = 20;
    private static final List<String> KERNEL_TABLES = List.of("/proc/net/tcp", "/proc/net/tcp6");
    private static final String ESTABLISHED = "01";
    private static final int LOCAL_ADDRESS_COLUMN = 1;
    private static final int REMOTE_ADDRESS_COLUMN = 2;
    private static final int STATE_COLUMN = 3;
    private static final int MEASURED_WORKERS = 200;
    private static final int SAMPLES = 100;
    private static final int MEDIAN = 50;
    private static final int PERCENTILE_90 = 90;
    private static final long MAX_MEDIAN_MICROS = 300_000;
    private static final long NANOS_PER_MICRO = 1000;

    /**
     * Counts polls of the sockets until the dispatcher has no task in flight. Used on the I/O thread only.
     */
    private final class PollCounter {
        private int polls;
        private final FutureTask<Integer> pollsUntilNoTask = new FutureTask<>(() -> polls);

        void countNext(NextTick nextTick) {
            nextTick.run(() -> {
                polls++;
                if (node.dispatcher.tasks.size() == 0) {
                    pollsUntilNoTask.run();
                } else {
                    countNext(nextTick);
                }
            });
        }
    }

    /** Hundreds of clients disconnect, by FIN and by RST, while the dispatcher shuts down. */
    @Test
    void hundredsOfDisconnectsDuringShutdownAreDetectedAtOnce() throws Exception {
        TestServer worker = neverFinishingWorker();
        startServer(worker, CLIENTS);
        List<TestConnection> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(client().sendTask("t" + i, IDEMPOTENT, "x"));
        }
        until("all tasks are accepted", () -> count("taken") == CLIENTS);
        new Thread(node::stop).start();
        until("the dispatcher stops", () -> isStopping(client()));
        int polls = disconnectAndCountPolls(clients);
        assertTrue(polls <= MAX_POLLS, "disconnects were detected only at poll " + polls + " of the sockets");
        assertEquals(CLIENTS, count("client_gone") + count("bounced"));
        long sent = count("assigned");
        until("no attempt is in flight", () -> worker.ended.size() == worker.connections.size());
        assertTrue(count("client_gone") > MIN_CLIENTS_GONE, "too many tasks were rejected");
        assertEquals(sent, count("assigned"), "no task was sent again");
    }

    /** Disconnects all clients in one step of the I/O thread, and counts its polls until no task is left. */
    private int disconnectAndCountPolls(List<TestConnection> clients) throws Exception {
        Set<Integer> ports = clients.stream().map(TestConnection::port).collect(Collectors.toSet());
        PollCounter counter = new PollCounter();
        NextTick nextTick = onThread(() -> {
            for (int i = 0; i < clients.size(); i++) {
                clients.get(i).disconnect(closeType(i));
            }
            until("the kernel has processed all disconnects", () -> establishedConnections(ports) == 0);
            NextTick created = new NextTick(node.thread);
            counter.countNext(created);
            return created;
        });
        int polls = counter.pollsUntilNoTask.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        runOnThread(nextTick::close);
        return polls;
    }

    private static String closeType(int index) {
        return index % 2 == 0 ? FIN : RST;
    }

    /**
     * Returns how many of the dispatcher's connections to these ports are established according to the
     * kernel.
     */
    private int establishedConnections(Set<Integer> ports) throws IOException {
        int count = 0;
        for (String table : KERNEL_TABLES) {
            for (String row : Files.readAllLines(Path.of(table))) {
                String[] columns = row.trim().split("\\s+");
                boolean ofDispatcher = columns[STATE_COLUMN].equals(ESTABLISHED)
                        && port(columns[LOCAL_ADDRESS_COLUMN]) == node.address().getPort();
                if (ofDispatcher && ports.contains(port(columns[REMOTE_ADDRESS_COLUMN]))) {
                    count++;
                }
            }
        }
        return count;
    }

    /** Parses the port of an address in the format of the kernel's tables, in hexadecimal digits. */
    private static int port(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1), 16);
    }

    /**
     * Measures the figure of docs/measurements.md. Asserts the median, since other load on the machine may
     * delay single tasks.
     */
    @Test
    void taskIsDroppedPromptlyAfterADisconnect() throws Exception {
        TestServer worker = neverFinishingWorker();
        startServer(worker, MEASURED_WORKERS);
        long[] micros = new long[SAMPLES];
        for (int i = 0; i < micros.length; i++) {
            micros[i] = microsUntilDropped(worker, i);
        }
        Arrays.sort(micros);
        System.out.println("disconnect to dropped task, microseconds: median " + micros[MEDIAN] + ", 90th "
                + micros[PERCENTILE_90] + ", most " + micros[SAMPLES - 1]);
        assertTrue(micros[MEDIAN] < MAX_MEDIAN_MICROS, "median " + micros[MEDIAN]);
    }

    private long microsUntilDropped(TestServer worker, int index) throws Exception {
        int before = worker.received.size();
        TestConnection client = client().sendTask("t" + index, IDEMPOTENT, "x");
        until("the task is at the worker", () -> worker.received.size() > before);
        client.disconnect(closeType(index));
        long leftAt = System.nanoTime();
        while (taskCount() > 0) {
            Thread.onSpinWait();
        }
        return (System.nanoTime() - leftAt) / NANOS_PER_MICRO;
    }
}
