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

/** Tests drain notices of other members together with the own endpoint list. */
class DrainOverridesTest {
    private final List<String> changes = new ArrayList<>();
    private final List<DrainNotice> announced = new ArrayList<>();
    private final DrainNotices notices = new DrainNotices();
    private DrainOverrides overrides = overrides(true);
    private double clockMs;

    private DrainOverrides overrides(boolean enabled) {
        return new DrainOverrides(enabled, Span.ofMillis(30_000),
                list -> list.endpoints().forEach(endpoint -> changes.add(describe(endpoint))), "d1");
    }

    private static String describe(Endpoint endpoint) {
        return endpoint.uid() + " " + endpoint.state();
    }

    private Moment now() {
        return Moment.ofMillis(clockMs);
    }

    private static Endpoint endpoint(String uid, String state, long startedAtMs) {
        return new Endpoint(uid, null, "a", "m", 1, Endpoint.State.valueOf(state), 1, startedAtMs);
    }

    /** Applies an update of the own list and describes the resulting list for the dispatcher. */
    private String ownList(long version, boolean complete, Endpoint... endpoints) {
        EndpointList effective = overrides.onOwnList(now(),
                new EndpointList(version, complete, Arrays.asList(endpoints)), notices, announced::add);
        return String.join(", ", effective.endpoints().stream().map(DrainOverridesTest::describe).toList());
    }

    /** Handles a notice as the membership does, which passes on only new notices. */
    private boolean receive(DrainNotice notice) {
        return DrainNoticesAccess.add(notices, notice) && overrides.onNotice(now(), notice);
    }

    private static DrainNotice draining(String worker, long startedAtMs, long version) {
        return new DrainNotice(worker, startedAtMs, version, DrainNotice.Kind.DRAINING);
    }

    private static DrainNotice removed(String worker, long startedAtMs, long version) {
        return new DrainNotice(worker, startedAtMs, version, DrainNotice.Kind.REMOVED);
    }

    @Test
    void aNoticeOfANewerListOverridesAndAnOlderOneDoesNot() {
        ownList(5, true, endpoint("w", "READY", 10), endpoint("v", "READY", 10));
        assertFalse(receive(draining("w", 10, 5)), "the own list has the same version");
        assertFalse(receive(draining("w", 9, 7)), "the notice is about an earlier start");
        assertFalse(receive(draining("stranger", 10, 7)));
        assertTrue(receive(draining("w", 10, 8)));
        assertEquals(List.of("w DRAINING"), changes);
        assertEquals("v READY, w DRAINING",
                ownList(6, false, endpoint("v", "READY", 10), endpoint("w", "READY", 10)));
        assertEquals(1, overrides.count());
    }

    @Test
    void onlyTheOwnListPutsAWorkerBack() {
        ownList(5, true, endpoint("w", "READY", 10));
        receive(draining("w", 10, 8));
        assertEquals("", ownList(7, false), "the own list is still older");
        assertEquals("w READY", ownList(8, false), "it has the same version, and the worker is not draining");
        receive(draining("w", 10, 12));
        assertEquals("w READY", ownList(9, false, endpoint("w", "READY", 20)), "the worker started later");
        assertEquals(0, overrides.count());
    }

    @Test
    void anOlderListThatIsUpdatedAppliesAgainAfterTheLifetimeOfTheNotice() {
        ownList(5, true, endpoint("w", "READY", 10));
        receive(draining("w", 10, 8));
        clockMs += 29_000;
        assertEquals("", ownList(6, false));
        clockMs += 2_000;
        assertEquals(1, overrides.count(), "nothing changes while the list is not updated");
        assertEquals("w READY", ownList(6, false));
    }

    @Test
    void drainsAndRemovalsOfTheOwnListAreAnnounced() {
        ownList(5, true, endpoint("w", "READY", 10), endpoint("v", "READY", 10),
                endpoint("u", "DRAINING", 10));
        ownList(6, false, endpoint("v", "REMOVED", 10));
        ownList(7, true, endpoint("u", "DRAINING", 10));
        assertEquals(
                List.of(draining("u", 10, 5), removed("v", 10, 6), draining("u", 10, 7), removed("w", 10, 7)),
                announced);
    }

    @Test
    void aNoticeBeforeTheFirstListAppliesToItAndAnotherDiscoveryServiceResetsTheVersion() {
        assertFalse(receive(draining("w", 10, 8)));
        assertEquals("w DRAINING", ownList(5, true, endpoint("w", "READY", 10)));
        overrides.onDiscoveryChanged();
        assertFalse(receive(draining("w", 10, 9)), "the versions of the new service are unknown");
        assertEquals("w READY", ownList(90, true, endpoint("w", "READY", 10)));
        assertEquals(List.of(), announced, "a worker missing from the new service is not a removal");
    }

    @Test
    void nothingIsOverriddenWhenDisabled() {
        overrides = overrides(false);
        ownList(5, true, endpoint("w", "READY", 10));
        assertFalse(receive(draining("w", 10, 8)));
        assertEquals("w READY", ownList(6, false, endpoint("w", "READY", 10)));
    }
}
