package rampshift.extensions;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import rampshift.jobs.PeriodicJobSettings;
import rampshift.jobs.host.PeriodicJobHost;
import rampshift.leases.host.LeaseHost;
import rampshift.membership.host.MessageChannel;
import rampshift.policy.TrafficType;
import rampshift.settings.Configuration;
import rampshift.settings.InvalidInputException;

/** Leases, and the duties that are done under them. */
final class LeaseExtension implements MessageChannel.Handler {
    private final LeaseHost leases;
    private final List<PeriodicJobSettings> duties;
    private PeriodicJobHost host;

    LeaseExtension(LeaseHost leases, List<PeriodicJobSettings> duties) {
        this.leases = leases;
        this.duties = duties;
    }

    @Override
    public void begin(MessageChannel post) {
        Configuration c = post.configuration();
        List<String> types = c.settings.platform().types();
        List<TrafficType> rows = c.settings.read(c.seed).types;
        List<PeriodicJobSettings> known = new ArrayList<>();
        for (PeriodicJobSettings p : duties) {
            int type = types.indexOf(p.type());
            if (type < 0) {
                throw new InvalidInputException(
                        "duty " + p.name() + ": the configuration knows no traffic type \""
                                + p.type() + "\", only "
                                + String.join(", ", types));
            }
            known.add(new PeriodicJobSettings(p.name(), p.type(), p.every(), p.at(), p.after(), p.objects(),
                    p.rate(),
                    p.catchUp(), p.target(), p.body(),
                    rows.get(type).effect() == TrafficType.Effect.IDEMPOTENT, rows.get(type).expiry()));
        }
        leases.begin(post);
        if (!known.isEmpty()) {
            InetSocketAddress door = c.listen.getAddress().isAnyLocalAddress()
                    ? new InetSocketAddress("127.0.0.1", c.listen.getPort())
                    : c.listen;
            host = new PeriodicJobHost(known, leases, post.thread(), post.clock(), door);
        }
    }

    @Override
    public void onMessage(String from, byte[] payload) {
        leases.onMessage(from, payload);
    }

    @Override
    public void onReachableMembers(Collection<String> names) {
        leases.onReachableMembers(names);
    }

    @Override
    public String answer(String question) {
        return question.equals("?duties") ? host == null ? "there are no duties\n" : host.page()
                : leases.answer(question);
    }

    @Override
    public void stopping() {
        leases.stopping();
    }

    @Override
    public void end() {
        if (host != null) {
            host.end();
        }
        leases.end();
    }
}
