package rampshift.testbed.experiment;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import rampshift.testbed.links.LinkProxy;
import rampshift.testbed.plan.FleetPlan;

/**
 * Writes the operator files of a plan's dispatchers. They configure membership, and also leases and periodic
 * jobs if the plan has any periodic jobs.
 */
final class OperatorFileWriter {
    private static final int MAX_SEEDS = 2;

    private final FleetPlan plan;
    private final RunFolder folder;
    private final List<InetSocketAddress> members;
    private final LinkProxy links;

    /**
     * Creates a writer.
     *
     * @param folder where the files are written
     * @param members the address at which each dispatcher listens for the others
     * @param links the proxy through which the dispatchers reach one another
     */
    OperatorFileWriter(FleetPlan plan, RunFolder folder, List<InetSocketAddress> members, LinkProxy links) {
        this.plan = plan;
        this.folder = folder;
        this.members = members;
        this.links = links;
    }

    /**
     * Writes the file of one dispatcher. Its seed members are the first two other dispatchers.
     *
     * @param dispatcher the number of the dispatcher, from 0
     * @param site the number of its site, from 0
     */
    void write(int dispatcher, int site) throws IOException {
        StringBuilder text = new StringBuilder(members(dispatcher, site));
        for (int other : otherDispatchers(dispatcher)) {
            text.append(reach(dispatcher, other));
        }
        if (!plan.leases().periodicJobs().isEmpty()) {
            text.append(leases(dispatcher));
            plan.leases().periodicJobs().forEach(job -> text.append(periodicJob(job)));
        }
        Files.writeString(folder.operatorFile(dispatcher), text.toString());
    }

    private List<Integer> otherDispatchers(int dispatcher) {
        List<Integer> others = new ArrayList<>();
        for (int other = 0; other < members.size(); other++) {
            if (other != dispatcher) {
                others.add(other);
            }
        }
        return others;
    }

    private String members(int dispatcher, int site) {
        InetSocketAddress listen = members.get(dispatcher);
        List<String> seeds = otherDispatchers(dispatcher).stream().limit(MAX_SEEDS)
                .map(other -> quoted(address(dispatcher, other))).toList();
        return String.format(Locale.ROOT, """
                [members]
                fleet = "trial"
                site = "%s"
                listen = "%s:%d"
                period = "%dus"
                forget = "%dms"
                news = %s
                ledger = '%s'
                seeds = [%s]
                """, plan.sites().get(site).name(), listen.getHostString(), listen.getPort(),
                plan.members().period().micros(), Math.round(plan.members().forget().millis()),
                plan.members().sharesDrains(), folder.membershipEventLog(dispatcher),
                String.join(", ", seeds));
    }

    private String reach(int dispatcher, int other) {
        return """
                [[members.reach]]
                name = "%s"
                address = "%s"
                """.formatted(RunFolder.dispatcherName(other), address(dispatcher, other));
    }

    /** Returns the address at which a dispatcher reaches another one. */
    private String address(int dispatcher, int other) {
        return "127.0.0.1:" + links.address(dispatcher, other).getPort();
    }

    private String leases(int dispatcher) {
        FleetPlan.Leases leases = plan.leases();
        List<String> acceptors = new ArrayList<>();
        for (int acceptor = 0; acceptor < Math.min(leases.acceptors(), plan.dispatcherCount()); acceptor++) {
            acceptors.add(quoted(RunFolder.dispatcherName(acceptor)));
        }
        String section = String.format(Locale.ROOT, """
                [leases]
                keepers = [%s]
                term = "%dms"
                drift = %s
                ledger = '%s'
                """, String.join(", ", acceptors), Math.round(leases.term().millis()),
                leases.drift(), folder.leaseEventLog(dispatcher));
        boolean isAcceptor = dispatcher < leases.acceptors();
        return isAcceptor ? section + "directory = '" + folder.acceptorDirectory(dispatcher) + "'\n"
                : section;
    }

    private String periodicJob(FleetPlan.PeriodicJob job) {
        FleetPlan.TrafficType type = plan.types().stream().filter(each -> each.name().equals(job.type()))
                .findFirst().orElseThrow();
        return String.format(Locale.ROOT, """
                [[duty]]
                name = "%s"
                type = "%s"
                every = "%dms"
                objects = %d
                rate = %s
                target = "/api/{object}"
                body = "work=%d,%s,%s;"
                """, job.name(), job.type(), Math.round(job.every().millis()), job.objects(),
                job.rate(), type.work().micros(), type.slots(), type.memory());
    }

    private static String quoted(String text) {
        return '"' + text + '"';
    }
}
