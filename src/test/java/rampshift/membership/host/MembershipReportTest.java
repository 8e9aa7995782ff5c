package rampshift.membership.host;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rampshift.membership.DrainNotice;
import rampshift.membership.MemberIdentity;
import rampshift.membership.MembershipEvent;
import rampshift.membership.MembershipHealth;
import rampshift.membership.MembershipOptions;
import rampshift.membership.MembershipOutput;
import rampshift.membership.MembershipTimings;
import rampshift.membership.SwimMembership;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Fixes the words that operators, scripts and the verification of event logs read. */
class MembershipReportTest {
    /** Ignores all decisions. */
    private static final class IgnoringOutput implements MembershipOutput {
        @Override
        public void sendDatagram(String address, byte[] datagram) {
            // Not sent.
        }

        @Override
        public void requestSync(String address, byte[] request) {
            // Not sent.
        }

        @Override
        public void wakeAt(Moment when) {
            // Never woken.
        }

        @Override
        public void onEvent(MembershipEvent event) {
            // Not logged.
        }

        @Override
        public void onDrainNotice(DrainNotice notice) {
            // Not applied.
        }
    }

    private static SwimMembership membership(String name, String address, MembershipOutput output) {
        MemberIdentity self = new MemberIdentity(name, 1000, 1, address, "north", "0.1.0", 1000,
                MemberIdentity.Phase.SERVING);
        MembershipTimings timings = new MembershipTimings(Span.ofMillis(1000), Span.ofMillis(60_000));
        return new SwimMembership(new MembershipOptions("valle", self, List.of(), Map.of(), timings, 1),
                output);
    }

    @Test
    void theReportOfALoneMemberHasItsFixedWords() {
        SwimMembership membership = membership("d3", "10.1.0.3:7946", new IgnoringOutput());
        membership.start(Moment.ofMillis(0));
        byte[] tooShort = {1, 2, 3};
        membership.onDatagram(Moment.ofMillis(1), "10.1.0.9:7946", tooShort, tooShort.length);
        String expected = """
                fleet valle, this is d3: whole, 1 there of 1 known, own lateness 0
                  d3               alive    serving  10.1.0.3:7946          \
                site north      incarnation 1000, build 0.1.0
                datagrams sent 0 (0 bytes), taken 1, malformed 1, foreign 0, misdirected 0, no room 0
                exchanges 0, refuted 0, accused 0, stalls 0, workers bound by news 2
                """;
        String actual = new MembershipReport("valle", membership, 2).text();
        assertEquals(expected.lines().toList(), actual.lines().toList());
    }

    @Test
    void theLabelsOfHealthEventsAndDrainNoticesAreFixed() {
        assertEquals(List.of("JOINING", "LATE", "TWIN", "WHOLE", "MISSING", "MINOR", "ALONE"),
                Arrays.stream(MembershipHealth.values()).map(MembershipHealth::label).toList());
        assertEquals(
                List.of("JOINED", "CHANGED", "SUSPECTED", "CLEARED", "FAILED", "ENDED", "FORGOTTEN",
                        "REFUTED", "STALLED",
                        "TWIN", "STANDING"),
                Arrays.stream(MembershipEvent.Kind.values()).map(MembershipEvent.Kind::label).toList());
        assertEquals(List.of("DRAINS", "GONE"),
                Arrays.stream(DrainNotice.Kind.values()).map(DrainNotice.Kind::label).toList());
    }
}
