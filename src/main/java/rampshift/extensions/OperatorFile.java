package rampshift.extensions;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import rampshift.jobs.PeriodicJobSettings;
import rampshift.leases.host.LeaseSettings;
import rampshift.membership.host.MembershipSettings;
import rampshift.toml.TomlFile;
import rampshift.toml.TomlTable;

/**
 * The operator's file. The feature of a missing section is disabled.
 *
 * @param membership the section {@code [members]}, or null if it is missing
 * @param leases the section {@code [leases]}, or null if it is missing
 * @param periodicJobs the sections {@code [[duty]]}
 */
public record OperatorFile(MembershipSettings membership, LeaseSettings leases,
        List<PeriodicJobSettings> periodicJobs) {

    private static final String MEMBERS = "members";
    private static final String LEASES = "leases";
    private static final String DUTY = "duty";

    /**
     * Reads a file.
     *
     * @throws rampshift.settings.ConfigurationException with all faults of the file
     */
    public static OperatorFile read(Path file) {
        return read(file.toString(), TomlFile.text(file));
    }

    /**
     * Reads the text of a file; the name appears in error messages.
     *
     * @throws rampshift.settings.ConfigurationException with all faults of the text
     */
    public static OperatorFile read(String name, String text) {
        TomlFile file = TomlFile.read(name, text);
        TomlTable top = file.top();
        MembershipSettings membership =
                top.has(MEMBERS) ? MembershipSection.read(top.table(MEMBERS)) : null;
        List<PeriodicJobSettings> jobs = new ArrayList<>();
        for (TomlTable section : top.tables(DUTY)) {
            jobs.add(PeriodicJobSection.read(section));
        }
        checkPredecessors(top, jobs);
        LeaseSettings leases = top.has(LEASES) ? LeaseSection.read(top.table(LEASES), jobs) : null;
        if (leases == null && !jobs.isEmpty()) {
            top.fault(DUTY, "needs [leases]: a duty runs on the holder of the lease with its name");
        }
        if (leases != null && membership == null) {
            top.fault(LEASES, "needs [members]: its messages are sent over the member address");
        }
        top.rejectUnknownKeys();
        file.throwIfFaulty();
        return new OperatorFile(membership, leases, jobs);
    }

    private static void checkPredecessors(TomlTable top, List<PeriodicJobSettings> jobs) {
        for (int i = 0; i < jobs.size(); i++) {
            String predecessor = jobs.get(i).predecessor();
            if (!predecessor.isEmpty() && !isAnotherJob(jobs, i, predecessor)) {
                top.fault(DUTY, "after = \"" + predecessor + "\" is not the name of another duty");
            }
        }
    }

    private static boolean isAnotherJob(List<PeriodicJobSettings> jobs, int index, String name) {
        return IntStream.range(0, jobs.size())
                .anyMatch(other -> other != index && jobs.get(other).name().equals(name));
    }
}
