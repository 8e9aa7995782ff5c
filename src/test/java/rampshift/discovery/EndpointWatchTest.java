package rampshift.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static rampshift.TestPeers.list;
import static rampshift.TestPeers.until;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import rampshift.TestDiscovery;
import rampshift.TestServer;

/** The watch on a busy thread, and the switch to another agent. */
class EndpointWatchTest extends EndpointWatchTestBase {
    private final List<String> versions = Collections.synchronizedList(new ArrayList<>(List.of(list(true))));
    private final TestServer agent = TestDiscovery.start(versions);

    EndpointWatchTest() throws IOException {}

    @AfterEach
    void closeAgent() throws IOException {
        agent.close();
    }

    private void startWatch(int drainGraceMillis, Runnable onList) throws Exception {
        onThread(() -> startWatch(agent.port(), drainGraceMillis, onList));
    }

    private void awaitOpenPoll() throws Exception {
        until("the poll for changes is open", () -> agent.received.size() == 2);
    }

    @Test
    void unreadUpdateIsObservedByReadPending() throws Exception {
        startWatch(4000, EndpointWatchTestBase::doNothing);
        awaitOpenPoll();
        onThread(() -> {
            stall(450); // longer than a tenth of the grace, the minimum interval of reads
            versions.add(list(false));
            stall(300);
            assertEquals(List.of(1L), observed);
            watch.readPending();
            assertEquals(List.of(1L, 2L), observed, "the update is read without leaving the current step");
        });
    }

    /** Guards against polling only after the tasks that wait for the list are sent, which can take 84 ms. */
    @Test
    void nextPollIsSentBeforeTheListIsPassedToTheListener() throws Exception {
        List<Long> meanwhile = Collections.synchronizedList(new ArrayList<>());
        startWatch(2000, () -> {
            if (observed.size() == 1) {
                versions.add(list(false));
                stall(300);
                watch.readPending();
                meanwhile.addAll(observed);
            }
        });
        until("both are observed", () -> observed.size() >= 2);
        assertEquals(List.of(1L, 2L), meanwhile);
        assertEquals(0, failures());
    }

    /**
     * The response arrived in time, so the agent must not be polled again on a new connection because this
     * thread was late.
     */
    @Test
    void unreadResponseDoesNotTimeOut() throws Exception {
        startWatch(2000, EndpointWatchTestBase::doNothing);
        awaitOpenPoll();
        onThread(() -> stall(1800));
        until("the agent is still polled", () -> agent.received.size() > 2);
        assertEquals(0, failures());
    }

    /**
     * Reading pending input and the timeout of the poll are due in the same tick. Guards against a timeout of
     * the former poll that fails the next one, which is sent when the response is read.
     */
    @Test
    void timeoutOfAnAnsweredPollDoesNotFailTheNextOne() throws Exception {
        startWatch(2000, EndpointWatchTestBase::doNothing);
        awaitOpenPoll();
        onThread(() -> {
            thread.executeAfter(() -> watch.readPending(), 1, TimeUnit.MILLISECONDS);
            stall(1800); // the response arrives after 800 ms, the timeout is due after 1400 ms
        });
        until("the agent is still polled", () -> agent.received.size() > 2);
        assertEquals(0, failures());
    }

    /**
     * SIGHUP arrives twice before the first connection is established: the connections of the first and the
     * second dial are not used.
     */
    @Test
    void lastOfSeveralSwitchesTakesEffect() throws Exception {
        try (TestServer second =
                TestDiscovery.start(new ArrayList<>(List.of(list(true).replace("REV", "20"))));
                TestServer third =
                        TestDiscovery.start(new ArrayList<>(List.of(list(true).replace("REV", "30"))))) {
            onThread(() -> {
                startWatch(agent.port(), 2000, EndpointWatchTestBase::doNothing);
                watch.switchTo(local(second.port()));
                watch.switchTo(local(third.port()));
            });
            until("the last agent is watched", () -> third.received.size() > 1);
            onThread(EndpointWatchTestBase::doNothing);
            assertEquals(List.of(30L), observed);
            assertEquals(0, agent.received.size() + second.received.size());
            assertEquals(0, failures());
        }
    }
}
