package rampshift.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rampshift.TestPeers.list;
import static rampshift.TestPeers.node;
import static rampshift.TestPeers.until;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rampshift.HttpMessage;
import rampshift.ServerScript;
import rampshift.TestConnection;
import rampshift.TestDiscovery;
import rampshift.TestPeers;
import rampshift.TestServer;
import rampshift.settings.Configuration;

/**
 * Tests of a whole dispatcher with the endpoint list of its configuration and those of the discovery agent.
 */
class ServerEndpointListTest extends ConnectionTestBase {
    private static final String TERMINATING = "terminating";
    /** Longer than the delay until a sent endpoint list can be read. */
    private static final int ARRIVAL_MS = 50;

    private static Configuration configuration(TestServer agent, String known) throws IOException {
        return parse(TestPeers.configuration(agent, known, SMALL_LIMITS));
    }

    // ---- the first list

    @Test
    void tasksWaitForTheFirstListAfterARestart() throws Exception {
        TestServer drained = finishingWorker();
        TestServer staying = finishingWorker();
        TestServer slowAgent = worker((message, connection) -> {
            Thread.sleep(message.startLine().contains("index=") ? 900 : 400);
            respond(connection,
                    list(true, drained.entry("s-1", TERMINATING), staying.entry("s-2", IN_SERVICE))
                            .replace("REV", "9"));
        });
        node = new DispatcherServer(configuration(slowAgent,
                list(true, drained.entry("s-1", IN_SERVICE), staying.entry("s-2", IN_SERVICE))));
        for (int i = 0; i < 8; i++) {
            client().sendTask("t" + i, "look", "x");
        }
        until("all tasks were sent", () -> staying.received.size() >= 8);
        assertEquals(0, drained.received.size());
    }

    @Test
    void knownListIsUsedIfNoAgentResponds() throws Exception {
        TestServer worker = finishingWorker();
        TestServer silentAgent = worker((message, connection) -> {});
        node = new DispatcherServer(configuration(silentAgent, list(true, worker.entry("s-1", IN_SERVICE))));
        TestConnection client = client();
        assertEquals(200, client.sendTask("t", "look", "x").read().status());
        assertTrue(silentAgent.received.size() >= 2, "a single failure does not count as an outage");
    }

    /**
     * A drain is observed within the grace after the agent responds again. The agent never answers the poll
     * that is open while it is silent.
     */
    @ParameterizedTest
    @CsvSource({"start,400", "middle,1000", "reload,400"})
    void drainIsObservedInTimeAfterTheAgentWasSilent(String when, int graceMillis) throws Exception {
        TestServer drained = finishingWorker();
        TestServer staying = finishingWorker();
        AtomicBoolean silent = new AtomicBoolean(!when.equals("middle"));
        AtomicInteger version = new AtomicInteger(1);
        TestServer agent = worker(agentWithDrain(drained, staying, silent, version));
        TestServer otherAgent = worker((message, connection) -> {});
        String known = list(true, drained.entry("s-1", IN_SERVICE), staying.entry("s-2", IN_SERVICE));
        node = new DispatcherServer(
                withDrainGrace(when.equals("reload") ? otherAgent : agent, known, graceMillis));
        assertEquals(200, client().sendTask("a", "look", "x").read().status(), "the known list is used");
        if (when.equals("reload")) {
            node.reload(withDrainGrace(agent, known, graceMillis));
        }
        until("the agent is polled", () -> agent.received.size() > 0);
        if (when.equals("middle")) {
            until("a poll for changes is open", () -> agent.received.size() > 1);
            silent.set(true);
            Thread.sleep(20);
        } else {
            assertEquals(200, client().sendTask("b", "look", "x").read().status());
            until("a poll is open", () -> agent.received.size() > 2);
        }
        version.set(2);
        silent.set(false);
        Thread.sleep(graceMillis + 50);
        int before = drained.received.size();
        for (int i = 0; i < 8; i++) {
            assertEquals(200, client().sendTask("c" + i, "look", "x").read().status());
        }
        assertEquals(before, drained.received.size());
    }

    /**
     * Returns an agent that lists one of two workers as draining from version 2 on, and does not respond
     * while it is silent.
     */
    private static ServerScript agentWithDrain(TestServer drained, TestServer staying, AtomicBoolean silent,
            AtomicInteger version) {
        return (message, connection) -> {
            String request = message.startLine();
            boolean forChanges = request.contains("index=");
            int known = forChanges ? Integer.parseInt(request.replaceAll(".*index=(\\d+).*", "$1")) : 0;
            String waitMillis = forChanges ? request.replaceAll(".*wait=(\\d+).*", "$1") : "0";
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(waitMillis));
            while (!silent.get() && version.get() <= known && System.nanoTime() < end) {
                Thread.sleep(2);
            }
            if (silent.get()) {
                return;
            }
            String state = version.get() == 1 ? IN_SERVICE : TERMINATING;
            respond(connection,
                    list(true, drained.entry("s-1", state), staying.entry("s-2", IN_SERVICE)).replace("REV",
                            version.toString()));
        };
    }

    private static Configuration withDrainGrace(TestServer agent, String known, int graceMillis)
            throws IOException {
        return parse(TestPeers.configuration(agent, known, SMALL_LIMITS).replace("\"WeightSource\"",
                "\"Rules\":{\"StopSendingWithinMs\":" + graceMillis + "},\"WeightSource\""));
    }

    @Test
    void serverWithoutAListIsNotReady() throws Exception {
        node = node(null, list(true), SMALL_LIMITS);
        assertEquals(503, readyStatus(client()));
    }

    // ---- further lists

    @Test
    void changesAreFollowedThroughFailuresAndAcrossAddresses() throws Exception {
        TestServer old = finishingWorker();
        TestServer moved = finishingWorker();
        List<String> versions = Collections.synchronizedList(new ArrayList<>());
        versions.add(list(true, old.entry("s-1", IN_SERVICE)));
        TestServer agent = TestDiscovery.start(versions);
        closeables.add(agent);
        node = node(agent, list(true), SMALL_LIMITS);
        until("ready", () -> readyStatus(client()) == 200);
        assertEquals(200, client().sendTask("a", "look", "x").read().status());
        versions.add(list(false, moved.entry("s-1", IN_SERVICE)));
        until("the new address is used",
                () -> client().sendTask("b" + System.nanoTime(), "look", "x").read().status() == 200
                        && !moved.received.isEmpty());
        agent.connections.get(agent.connections.size() - 1).close();
        versions.add(list(false, moved.entry("s-1", TERMINATING), old.entry("s-2", IN_SERVICE)));
        int before = old.received.size();
        until("the new worker is used after a failure",
                () -> client().sendTask("c" + System.nanoTime(), "look", "x").read().status() == 200
                        && old.received.size() > before);
        versions.add(list(true));
        until("no worker is left",
                () -> client().sendTask("d" + System.nanoTime(), "look", "x").read().status() == 503);
    }

    /**
     * The version of the old agent is far above that of the new one; polled with it, the new agent would
     * report no changes.
     */
    @Test
    void reloadSwitchesTheWatchWithoutInterruptingTasks() throws Exception {
        CountDownLatch finish = new CountDownLatch(1);
        TestServer first = worker((task, connection) -> {
            finish.await();
            connection.respondDone(task, "ok");
        });
        TestServer second = finishingWorker();
        String oldList = list(true, first.entry("s-1", IN_SERVICE)).replace("REV", "5");
        List<String> versions = Collections
                .synchronizedList(new ArrayList<>(List.of(list(true, first.entry("s-1", IN_SERVICE)))));
        TestServer oldAgent = worker((message, connection) -> {
            if (!message.startLine().contains("index=")) {
                respond(connection, oldList);
            }
        });
        TestServer newAgent = TestDiscovery.start(versions);
        closeables.add(newAgent);
        node = node(oldAgent, list(true), SMALL_LIMITS);
        until("the list is received", () -> readyStatus(client()) == 200);
        TestConnection waiting = client().sendTask("a", "sell", "x");
        until("the task is sent", () -> first.received.size() == 1);
        for (int i = 0; i < 3; i++) {
            node.reload(configuration(newAgent, list(true)));
        }
        until("the old watch has ended and the new one has begun",
                () -> oldAgent.ended.size() == 1 && newAgent.received.size() >= 2);
        versions.add(list(false, first.entry("s-1", TERMINATING), second.entry("s-2", IN_SERVICE)));
        until("the new agent is watched", () -> hasReceived(newAgent, "index=2"));
        assertEquals(200, client().sendTask("b", "sell", "x").read().status());
        assertEquals(1, second.received.size());
        finish.countDown();
        assertEquals(200, waiting.read().status());
        assertEquals(3, count("reloads"));
    }

    /** Returns whether a request line that contains the text was received. */
    private static boolean hasReceived(TestServer agent, String text) {
        synchronized (agent.received) {
            return agent.received.stream().anyMatch(message -> message.startLine().contains(text));
        }
    }

    /** The agent may send its list in any layout of JSON, with any line ends. */
    @Test
    void indentedListIsRead() throws Exception {
        TestServer worker = finishingWorker();
        String indented = listOf(worker).replace("REV", "3")
                .replace("{", "{\r\n  ").replace(",", " ,\n\t").replace(":", " : ")
                .replace("127.0.0.1 : ", "127.0.0.1:").replace("]", "\n]\n");
        TestServer agent = worker((message, connection) -> {
            if (!message.startLine().contains("index=")) {
                respond(connection, indented);
            }
        });
        node = new DispatcherServer(parse(TestPeers.configuration(agent, list(true), LIMITS)));
        assertEquals(200, client().sendTask("t", "sell", "x").read().status());
        assertEquals(1, count("lists_whole"));
    }

    /**
     * The first list lets a waiting task be sent, and before its first byte a newer list is read, in which
     * the worker drains. The connection pool and the policy must apply the newer list to that task and later
     * ones.
     */
    @Test
    void listReadWhileAnOlderOneIsAppliedTakesPrecedence() throws Exception {
        TestServer worker = finishingWorker();
        CountDownLatch respond = new CountDownLatch(1);
        TestServer agent = worker((message, connection) -> {
            respond.await();
            boolean isFirst = !message.startLine().contains("index=");
            if (isFirst || message.startLine().contains("index=1")) {
                String entry = worker.entry("s-1", isFirst ? IN_SERVICE : TERMINATING);
                respond(connection, list(true, entry).replace("REV", isFirst ? "1" : "2"));
            }
        });
        node = new DispatcherServer(parse(TestPeers.configuration(agent, listOf(worker), LIMITS)
                .replace("\"WeightSource\"", "\"Rules\":{\"StopSendingWithinMs\":10},\"WeightSource\"")));
        TestConnection client = client().sendTask("t", "sell", "x");
        until("the task is accepted", () -> count("taken") == 1);
        replaceFirstByteHook(check -> {
            busyWait(ARRIVAL_MS);
            check.run();
        });
        respond.countDown();
        assertEquals(503, client.read().status());
        assertEquals(0, worker.received.size());
        assertEquals(1, count("first_byte_held_back"));
        assertEquals(503, client().sendTask("u", "sell", "x").read().status());
        assertEquals(1, count("assigned"), "the policy has applied the newer list too");
    }

    @Test
    void agentWithInvalidListsIsPolledAgainAndTheListStays() throws Exception {
        TestServer known = finishingWorker();
        TestServer later = finishingWorker();
        String badAddress = known.entry("s-1", IN_SERVICE).replace("127.0.0.1", "nowhere");
        List<String> responses = List.of("{\"rev\":", "[]", "{\"rev\":1}",
                list(true, "7", "{}", known.entry("s-1", IN_SERVICE)),
                list(true, later.entry("s-2", IN_SERVICE), later.entry("s-3", "what"), badAddress));
        AtomicInteger polls = new AtomicInteger();
        TestServer agent = worker((message, connection) -> {
            int number = polls.getAndIncrement();
            if (number < responses.size()) {
                respond(connection, responses.get(number).replace("REV", "1"));
            }
        });
        node = node(agent, list(true, known.entry("s-1", IN_SERVICE)), SMALL_LIMITS);
        assertEquals(200, client().sendTask("a", "sell", "x").read().status());
        until("the valid list is used",
                () -> client().sendTask("b" + System.nanoTime(), "sell", "x").read().status() == 200
                        && !later.received.isEmpty());
        until("the agent is still polled", () -> polls.get() > responses.size());
    }

    /**
     * Placement on real connections: the only allowed worker moves to another zone in the list, while the
     * other zone has capacity.
     */
    @Test
    void typeRestrictedToAZoneIsNotSentElsewhereWhenItsOnlyWorkerMoves() throws Exception {
        // Workers don't report starts: run times of a tenth of a millisecond would count as half a tick, each
        // worker would seem five times too slow, and a type without completed tasks would be rejected.
        TestServer here = resultWorker("here");
        TestServer there = resultWorker("there");
        String first = list(true, here.entry("s-1", IN_SERVICE),
                there.entry("s-2", IN_SERVICE).replace("\"az\":\"a\"", "\"az\":\"b\""));
        List<String> versions = Collections.synchronizedList(new ArrayList<>(List.of(first)));
        TestServer agent = TestDiscovery.start(versions);
        closeables.add(agent);
        node = new DispatcherServer(
                parse(TestPeers.configuration(agent, first, LIMITS)
                        .replace("\"Zones\":[\"a\"]", "\"Zones\":[\"a\",\"b\"]")
                        .replace("{\"Name\":\"look\"", "{\"RunsIn\":[1],\"Name\":\"look\"")));
        node.awaitReady();
        for (int i = 0; i < 10; i++) {
            assertEquals("there", client().sendTask("t" + i, "look", "x").read().text());
        }
        versions.add(list(false, there.entry("s-2", IN_SERVICE)));
        int[] rejected = {0};
        until("tasks are rejected at once when no allowed worker is left", () -> {
            String id = "v" + there.received.size() + "-" + rejected[0];
            HttpMessage answer = client().sendTask(id, "look", "x").read();
            rejected[0] += answer.status() == 503 ? 1 : 0;
            boolean stillThere = rejected[0] == 0 && answer.text().equals("there");
            assertTrue(answer.status() == 503 || stillThere, answer.status() + " " + answer.text());
            return rejected[0] == 10;
        });
        assertEquals(200, client().sendTask("u", "sell", "x").read().status(), "other types use any zone");
        assertEquals(0, here.received.stream().filter(task -> "look".equals(task.field("X-Lane"))).count());
    }

    private TestServer resultWorker(String result) throws IOException {
        return worker((task, connection) -> connection.respondWithProgress("{\"id\":\"" + task.field("X-Txn")
                + "\",\"state\":\"done\",\"result\":\"" + result + "\"}"));
    }
}
