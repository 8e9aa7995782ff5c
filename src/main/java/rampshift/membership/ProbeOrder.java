package rampshift.membership;

import java.util.ArrayList;
import java.util.List;

/** The order of probes: each pass covers all reachable members once, in a new random order. */
final class ProbeOrder {
    private final MembershipContext context;
    /** The names of the members left to probe in this pass; the last one is next. */
    private final List<String> remaining = new ArrayList<>();

    ProbeOrder(MembershipContext context) {
        this.context = context;
    }

    /** Inserts a new member at a random position of the current pass. */
    void add(Member member) {
        if (member.isReachable() && !remaining.isEmpty()) {
            insert(member);
        }
    }

    /** Returns the name of the next member to probe, or null if none is reachable. */
    String next() {
        while (true) {
            if (remaining.isEmpty()) {
                context.members().all().stream().filter(Member::isReachable).forEach(this::insert);
            }
            if (remaining.isEmpty()) {
                return null;
            }
            String name = remaining.remove(remaining.size() - 1);
            Member member = context.members().get(name);
            if (member != null && member.isReachable()) {
                return name;
            }
        }
    }

    private void insert(Member member) {
        remaining.add(context.random().nextInt(remaining.size() + 1), member.name());
    }
}
