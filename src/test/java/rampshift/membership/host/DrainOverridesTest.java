package rampshift.membership.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import rampshift.discovery.Endpoint;
import rampshift.discovery.EndpointList;
import rampshift.membership.DrainNotice;
import rampshift.membership.DrainNotices;
import rampshift.membership.DrainNoticesAccess;
import rampshift.time.Moment;
import rampshift.time.Span;

/** News from fellows beside the own list. */
class DrainOverridesTest {
    private final List<String> bound = new ArrayList<>();
    private final List<DrainNotice> learnt = new ArrayList<>();
    private final DrainNotices bulletin = new DrainNotices();
    private DrainOverrides bindings = bindings(true);
    private double clock;

    private DrainOverrides bindings(boolean on) {
        return new DrainOverrides(on, Span.ofMillis(30_000),
                l -> l.endpoints().forEach(t -> bound.add(t.uid() + " " + t.state())), "d1");
    }

    private Moment now() {
        return Moment.ofMillis(clock);
    }

    private static Endpoint target(String uid, String state, long boot) {
        return new Endpoint(uid, null, "a", "m", 1, Endpoint.State.valueOf(state), 1, boot);
    }

    private String list(long version, boolean whole, Endpoint... targets) {
        EndpointList out =
                bindings.listed(now(), new EndpointList(version, whole, Arrays.asList(targets)), bulletin,
                        learnt::add);
        return String.join(", ", out.endpoints().stream().map(t -> t.uid() + " " + t.state()).toList());
    }

    /** What the roll does first. */
    private boolean news(DrainNotice n) {
        return bulletinTakes(n) && bindings.heard(now(), n);
    }

    private boolean bulletinTakes(DrainNotice n) {
        DrainNotice had = bulletin.of(n.worker());
        DrainNoticesAccess.put(bulletin, n);
        return bulletin.of(n.worker()) != had;
    }

    private static DrainNotice drains(String worker, long boot, long version) {
        return new DrainNotice(worker, boot, version, DrainNotice.Kind.DRAINS);
    }

    @Test
    void newsOfALaterListBindsAndOlderNewsDoesNot() {
        list(5, true, target("w", "READY", 10), target("v", "READY", 10));
        assertFalse(news(drains("w", 10, 5)), "the own list is as new");
        assertFalse(news(drains("w", 9, 7)), "of a former start");
        assertFalse(news(drains("stranger", 10, 7)));
        assertTrue(news(drains("w", 10, 8)));
        assertEquals(List.of("w DRAINING"), bound);
        assertEquals("v READY, w DRAINING",
                list(6, false, target("v", "READY", 10), target("w", "READY", 10)));
        assertEquals(1, bindings.held());
    }

    @Test
    void onlyTheOwnListPutsAWorkerBack() {
        list(5, true, target("w", "READY", 10));
        news(drains("w", 10, 8));
        assertEquals("", list(7, false), "it has not come so far yet");
        assertEquals("w READY", list(8, false), "it has, and does not say so");
        news(drains("w", 10, 12));
        assertEquals("w READY", list(9, false, target("w", "READY", 20)), "a later start");
        assertEquals(0, bindings.held());
    }

    @Test
    void aListThatStaysBehindForLongIsBelievedAgainButASilentOneIsNot() {
        list(5, true, target("w", "READY", 10));
        news(drains("w", 10, 8));
        clock += 29_000;
        assertEquals("", list(6, false));
        clock += 2_000;
        assertEquals(1, bindings.held(), "while nothing is told nothing changes");
        assertEquals("w READY", list(6, false));
    }

    @Test
    void whatTheOwnListTellsIsPassedOnAndSoIsWhatItLeavesOut() {
        list(5, true, target("w", "READY", 10), target("v", "READY", 10), target("u", "DRAINING", 10));
        list(6, false, target("v", "REMOVED", 10));
        list(7, true, target("u", "DRAINING", 10));
        assertEquals(List.of(drains("u", 10, 5), new DrainNotice("v", 10, 6, DrainNotice.Kind.GONE),
                drains("u", 10, 7),
                new DrainNotice("w", 10, 7, DrainNotice.Kind.GONE)), learnt);
    }

    @Test
    void newsFromBeforeTheFirstListWaitsForItAndAnotherServiceStartsAnew() {
        assertFalse(news(drains("w", 10, 8)));
        assertEquals("w DRAINING", list(5, true, target("w", "READY", 10)));
        bindings.moved();
        assertFalse(news(drains("w", 10, 9)), "its versions say nothing yet");
        assertEquals("w READY", list(90, true, target("w", "READY", 10)));
        assertEquals(List.of(), learnt, "what another service does not name has not ended");
    }

    @Test
    void switchedOffNothingBinds() {
        bindings = bindings(false);
        list(5, true, target("w", "READY", 10));
        assertFalse(news(drains("w", 10, 8)));
        assertEquals("w READY", list(6, false, target("w", "READY", 10)));
    }
}
