package rampshift.membership.host;

import java.util.Locale;
import rampshift.membership.MemberIdentity;
import rampshift.membership.MemberUpdate;
import rampshift.membership.MembershipMetrics;
import rampshift.membership.MembershipMetrics.Counter;
import rampshift.membership.SwimMembership;

/** The output of the members command: the view of one dispatcher as text. */
final class MembershipReport {
    private final String fleet;
    private final SwimMembership membership;
    private final int drainOverrides;

    /** Creates a report on the membership, with the number of workers that drain notices override. */
    MembershipReport(String fleet, SwimMembership membership, int drainOverrides) {
        this.fleet = fleet;
        this.membership = membership;
        this.drainOverrides = drainOverrides;
    }

    /** Returns the text of the report. Its format is stable, since scripts may parse it. */
    String text() {
        MemberIdentity self = membership.self();
        StringBuilder text = new StringBuilder();
        text.append(String.format("fleet %s, this is %s: %s, %d there of %d known, own lateness %d%n", fleet,
                self.name(), lowerCase(membership.health().label()), membership.reachableCount(),
                membership.others().size() + 1, membership.localHealthScore()));
        appendMember(text, self, MemberUpdate.Status.ALIVE);
        membership.others().forEach(other -> appendMember(text, other.member(), other.status()));
        appendCounters(text, membership.metrics());
        return text.toString();
    }

    private static void appendMember(StringBuilder text, MemberIdentity member, MemberUpdate.Status status) {
        text.append(String.format("  %-16s %-8s %-8s %-22s site %-10s incarnation %d, build %s%n",
                member.name(),
                lowerCase(status.name()), lowerCase(member.phase().name()), member.address(), member.site(),
                member.incarnation(), member.build()));
    }

    private void appendCounters(StringBuilder text, MembershipMetrics metrics) {
        text.append(String.format(
                "datagrams sent %d (%d bytes), taken %d, malformed %d, foreign %d, misdirected %d, "
                        + "no room %d%n",
                metrics.get(Counter.SENT), metrics.get(Counter.SENT_BYTES), metrics.get(Counter.RECEIVED),
                metrics.get(Counter.MALFORMED), metrics.get(Counter.FOREIGN),
                metrics.get(Counter.MISDIRECTED),
                metrics.get(Counter.OVER_CAPACITY)));
        text.append(String.format(
                "exchanges %d, refuted %d, accused %d, stalls %d, workers bound by news %d%n",
                metrics.get(Counter.SYNCS), metrics.get(Counter.REFUTED), metrics.get(Counter.SUSPECTED),
                metrics.get(Counter.STALLS), drainOverrides));
    }

    private static String lowerCase(String label) {
        return label.toLowerCase(Locale.ROOT);
    }
}
