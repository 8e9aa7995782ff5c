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

/** Runs the leases of a dispatcher and the periodic jobs that depend on them. */
final class LeaseExtension implements MessageChannel.Handler {
    private static final String JOBS_QUERY = "?duties";
    private static final String LOOPBACK = "127.0.0.1";

    private final LeaseHost leases;
    private final List<PeriodicJobSettings> jobSettings;
    private PeriodicJobHost jobs;

    LeaseExtension(LeaseHost leases, List<PeriodicJobSettings> jobSettings) {
        this.leases = leases;
        this.jobSettings = jobSettings;
    }

    @Override
    public void onOpen(MessageChannel channel) {
        Configuration configuration = channel.configuration();
        List<PeriodicJobSettings> resolved = resolve(configuration);
        leases.onOpen(channel);
        if (!resolved.isEmpty()) {
            jobs = new PeriodicJobHost(resolved, leases, channel.thread(), channel.clock(),
                    ownAddress(configuration.listen()));
        }
    }

    /** Adds to each job the properties of its traffic type from the dispatcher's configuration. */
    private List<PeriodicJobSettings> resolve(Configuration configuration) {
        List<String> typeNames = configuration.settings().hostSettings().types();
        List<TrafficType> types = configuration.settings().read(configuration.seed()).types;
        List<PeriodicJobSettings> resolved = new ArrayList<>();
        for (PeriodicJobSettings job : jobSettings) {
            int index = typeNames.indexOf(job.trafficType());
            if (index < 0) {
                throw new InvalidInputException(
                        "duty " + job.name() + ": the configuration has no traffic type \""
                                + job.trafficType() + "\", only " + String.join(", ", typeNames));
            }
            TrafficType type = types.get(index);
            resolved.add(job.withTrafficType(type.effect() == TrafficType.Effect.IDEMPOTENT, type.timeout()));
        }
        return resolved;
    }

    private static InetSocketAddress ownAddress(InetSocketAddress listen) {
        boolean isWildcard = listen.getAddress().isAnyLocalAddress();
        return isWildcard ? new InetSocketAddress(LOOPBACK, listen.getPort()) : listen;
    }

    @Override
    public void onMessage(String from, byte[] message) {
        leases.onMessage(from, message);
    }

    @Override
    public void onReachableMembers(Collection<String> names) {
        leases.onReachableMembers(names);
    }

    @Override
    public String answer(String query) {
        if (query.equals(JOBS_QUERY)) {
            return jobs == null ? "there are no duties\n" : jobs.statusPage();
        }
        return leases.answer(query);
    }

    @Override
    public void onStopping() {
        leases.onStopping();
    }

    @Override
    public void onClose() {
        if (jobs != null) {
            jobs.stop();
        }
        leases.onClose();
    }
}
