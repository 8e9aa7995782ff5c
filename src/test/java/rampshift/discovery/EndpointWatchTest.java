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

/** The watch on a thread that has much else to do, or is told to continue elsewhere. */
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
            stall(450); // nothing was read for a tenth of the grace
            versions.add(list(false));
            stall(300);
            assertEquals(List.of(1L), observed);
            watch.readPending();
            assertEquals(List.of(1L, 2L), observed, "and the thread has not left what it does");
        });
    }

    /**
     * Tasks that waited for a list are sent in one go, which took 84 ms; the next poll was sent after that.
     */
    @Test
    void nextPollIsSentBeforeTheListIsHandedOn() throws Exception {
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
     * Its response was there in time: it is not polled again on a new connection because this thread was
     * late.
     */
    @Test
    void unreadResponseIsNoTimeout() throws Exception {
        startWatch(2000, EndpointWatchTestBase::doNothing);
        awaitOpenPoll();
        onThread(() -> stall(1800));
        until("it is watched on", () -> agent.received.size() > 2);
        assertEquals(0, failures());
    }

    /**
     * Reading what is pending and the timeout of the poll were due in one turn of the thread: the response
     * was read, the next poll was sent, and then the timeout of the former one failed it.
     */
    @Test
    void timeoutOfAnAnsweredPollDoesNotFailTheNextOne() throws Exception {
        startWatch(2000, EndpointWatchTestBase::doNothing);
        awaitOpenPoll();
        onThread(() -> {
            thread.executeAfter(() -> watch.readPending(), 1, TimeUnit.MILLISECONDS);
            stall(1800); // the response, that nothing changed, came after 800; the timeout was due after 1400
        });
        until("it is watched on", () -> agent.received.size() > 2);
        assertEquals(0, failures());
    }

    /**
     * SIGHUP twice before the first connection is up: what the first and the second dial bring is not used
     * any more.
     */
    @Test
    void lastOfSeveralSwitchesIsTheOneWatched() throws Exception {
        try (TestServer second =
                TestDiscovery.start(new ArrayList<>(List.of(list(true).replace("REV", "20"))));
                TestServer third =
                        TestDiscovery.start(new ArrayList<>(List.of(list(true).replace("REV", "30"))))) {
            onThread(() -> {
                startWatch(agent.port(), 2000, EndpointWatchTestBase::doNothing);
                watch.switchTo(local(second.port()));
                watch.switchTo(local(third.port()));
            });
            until("the last one is watched", () -> third.received.size() > 1);
            onThread(EndpointWatchTestBase::doNothing);
            assertEquals(List.of(30L), observed);
            assertEquals(0, agent.received.size() + second.received.size());
            assertEquals(0, failures());
        }
    }
}
