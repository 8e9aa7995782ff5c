package rampshift.extensions;

import java.io.IOException;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import rampshift.leases.host.LeaseHost;
import rampshift.membership.host.MembershipQuery;
import rampshift.membership.host.MembershipTransport;
import rampshift.serve.ServerExtension;
import rampshift.settings.ConfigurationException;
import rampshift.settings.InvalidInputException;

/**
 * The commands that need an operator's file. This class is loaded by name from a jar that is not opened
 * otherwise; its methods have the names of the commands.
 */
public final class OperatorCommands {
    private static final Pattern HAND_OVER_OR_ACCEPTORS =
            Pattern.compile("give [!-~]+( [!-~]+)?|keepers [!-~]+");
    private static final Pattern BLOCK = Pattern.compile("hold ([!-~]+) (\\d{1,9})(ms|s|min|h)");

    private OperatorCommands() {}

    /**
     * Creates the extension that runs beside a dispatcher as the file configures it.
     *
     * @param file the operator's file
     * @param name the dispatcher's name
     * @param build the version that it announces to the other dispatchers
     * @return the extension, or null if the file has no section {@code [members]}
     * @throws IOException if a directory or file named in the operator's file can't be used
     */
    public static ServerExtension beside(String file, String name, String build) throws IOException {
        OperatorFile settings = read(file);
        if (settings.membership() == null) {
            return null;
        }
        LeaseExtension leases = settings.leases() == null ? null
                : new LeaseExtension(new LeaseHost(settings.leases(), name), settings.periodicJobs());
        return new MembershipTransport(settings.membership(), name, build, leases);
    }

    /**
     * Returns the lease status page of the dispatcher with that file, or its answer to an operator's request.
     *
     * @param words the arguments of the command
     * @throws IOException if the dispatcher does not answer
     */
    public static String leases(String file, String[] words) throws IOException {
        OperatorFile settings = read(file);
        if (settings.leases() == null) {
            throw new InvalidInputException(file + ": has no [leases]");
        }
        return MembershipQuery.ask(settings.membership().listen(), "?leases" + leaseQuery(words));
    }

    /**
     * Returns the status page of the periodic jobs from the dispatcher with that file.
     *
     * @throws IOException if the dispatcher does not answer
     */
    public static String duties(String file) throws IOException {
        OperatorFile settings = read(file);
        if (settings.periodicJobs().isEmpty()) {
            throw new InvalidInputException(file + ": has no [[duty]]");
        }
        return MembershipQuery.ask(settings.membership().listen(), "?duties");
    }

    /**
     * Returns the members that the dispatcher with that file knows.
     *
     * @throws IOException if the dispatcher does not answer
     */
    public static String members(String file) throws IOException {
        OperatorFile settings = read(file);
        if (settings.membership() == null) {
            throw new InvalidInputException(file + ": has no [members]");
        }
        return MembershipQuery.members(settings.membership().listen());
    }

    private static String leaseQuery(String[] words) {
        String request = String.join(" ", words);
        if (words.length == 0) {
            return "";
        }
        if (HAND_OVER_OR_ACCEPTORS.matcher(request).matches()) {
            return " " + request;
        }
        Matcher block = BLOCK.matcher(request);
        if (block.matches()) {
            return " hold " + block.group(1) + " "
                    + Long.parseLong(block.group(2)) * microsPer(block.group(3));
        }
        throw new InvalidInputException(
                "\"" + request + "\": expected no arguments, give NAME [TO], hold NAME TIME (such as 10min),"
                        + " or keepers NAME,NAME,...");
    }

    private static long microsPer(String unit) {
        return switch (unit) {
            case "ms" -> 1000L;
            case "s" -> 1_000_000L;
            case "min" -> 60_000_000L;
            default -> 3_600_000_000L;
        };
    }

    private static OperatorFile read(String file) {
        try {
            return OperatorFile.read(Path.of(file));
        } catch (ConfigurationException e) {
            throw new InvalidInputException(e.getMessage());
        }
    }
}
