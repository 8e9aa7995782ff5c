package rampshift.leases;

import java.util.Collection;
import java.util.List;
import java.util.Locale;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Renders the leases and acceptors as text for operators. */
final class LeaseStatusPage {
    private final Moment now;
    private final Span term;

    LeaseStatusPage(Moment now, Span term) {
        this.now = now;
        this.term = term;
    }

    /**
     * Renders the page.
     *
     * @param acceptors the set that is in force
     * @param initialNames the members of the first set
     * @param acceptor this dispatcher's acceptor; null if it has none
     */
    String render(AcceptorSet acceptors, List<String> initialNames, Acceptor acceptor,
            Collection<LeaseClient> leases) {
        StringBuilder text = new StringBuilder();
        String acceptorSet = acceptors.isKnown() ? acceptors.encode().replace('|', ' ').trim()
                : "not known yet: " + String.join(",", initialNames) + " are asked";
        String ownState =
                acceptor == null ? "" : ", this is one: " + acceptor.state().name().toLowerCase(Locale.ROOT);
        text.append(String.format("keepers %s%s%n", acceptorSet, ownState));
        leases.forEach(lease -> text.append(line(lease)));
        return text.toString();
    }

    private String line(LeaseClient lease) {
        RegisterObserver observer = lease.observer();
        LeaseRecord value = observer.current();
        long token = value == null ? 0 : value.token();
        long version = value == null ? 0 : value.version();
        String age = value == null ? "0" : now.since(observer.currentSince()).seconds();
        String note = value == null || value.note().isEmpty() ? "" : ", note " + value.note();
        return String.format("  %-24s %-16s token %d, version %d, stands here for %s s, %s%s%n", lease.name(),
                holder(value), token, version, age, activity(lease), note);
    }

    private static String holder(LeaseRecord value) {
        if (value == null) {
            return "not known";
        }
        if (!value.isFree()) {
            return value.holder();
        }
        if (value.termMicros() == 0) {
            return "nobody's";
        }
        return "nobody's, kept for " + (value.nextHolder().isEmpty() ? "nobody" : value.nextHolder());
    }

    private String activity(LeaseClient lease) {
        if (lease.isHolding()) {
            return "acts for " + lease.remaining(now).seconds() + " s more";
        }
        if (lease.writer().isBusy()) {
            return "asks the keepers";
        }
        Moment lastContactAt = lease.observer().lastContactAt();
        if (lastContactAt == null) {
            return "no keeper has answered";
        }
        Span silence = now.since(lastContactAt);
        return silence.longerThan(term) ? "no keeper has answered for " + silence.seconds() + " s"
                : "watches";
    }
}
