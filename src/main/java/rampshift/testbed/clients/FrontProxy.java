package rampshift.testbed.clients;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;

/**
 * The plain layer before the dispatchers: it deals tasks out among those of a site, and goes on sending to a
 * dead
 * one until it has noticed. No I/O, no clock.
 */
final class FrontProxy {
    /** One dispatcher as the front knows it. */
    static final class Member {
        final int number;
        final int site;
        final InetSocketAddress address;
        private Moment outFrom;

        Member(int number, int site, InetSocketAddress address) {
            this.number = number;
            this.site = site;
            this.address = address;
        }
    }

    private final FleetPlan plan;
    private final List<Member> members;
    private final UniformRandomProvider chance;

    FrontProxy(FleetPlan plan, List<InetSocketAddress> addresses, UniformRandomProvider chance) {
        this.plan = plan;
        this.chance = chance;
        members = new ArrayList<>();
        for (int s = 0; s < plan.sites().size(); s++) {
            for (int i = 0; i < plan.sites().get(s).dispatchers() && members.size() < addresses.size(); i++) {
                members.add(new Member(members.size(), s, addresses.get(members.size())));
            }
        }
    }

    /** One of the site's; one of another site's where the site has none that is known to live. */
    Member pick(int site, Moment now) {
        List<Member> own = new ArrayList<>();
        List<Member> others = new ArrayList<>();
        for (Member m : members) {
            if (m.outFrom == null || now.before(m.outFrom)) {
                (m.site == site ? own : others).add(m);
            }
        }
        List<Member> from = !own.isEmpty() ? own : !others.isEmpty() ? others : members;
        return from.get(chance.nextInt(from.size()));
    }

    /** A connection to it was refused or broke: some time from now it is left out. */
    void failed(Member m, Moment now) {
        if (m.outFrom == null) {
            m.outFrom = now.plus(plan.clients().deadFront().at(chance.nextDouble()));
        }
    }

    /** It has said that it is ready. */
    void ready(Member m) {
        m.outFrom = null;
    }

    /** Those that have failed and have not been ready since. */
    List<Member> suspects() {
        List<Member> suspects = new ArrayList<>();
        for (Member m : members) {
            if (m.outFrom != null) {
                suspects.add(m);
            }
        }
        return suspects;
    }

    List<Member> members() {
        return members;
    }
}
