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
 * What the command line asks of an operator's file. It is loaded by name, from a jar that a plain start never
 * opens; the names of its methods are those of the commands.
 */
public final class OperatorCommands {
    private static final Pattern HAND_OVER_OR_ACCEPTORS =
            Pattern.compile("give [!-~]+( [!-~]+)?|keepers [!-~]+");
    private static final Pattern BLOCK = Pattern.compile("hold ([!-~]+) (\\d{1,9})(ms|s|min|h)");

    private OperatorCommands() {}

    /**
     * What the file asks to run beside a dispatcher.
     *
     * @param file the operator's file
     * @param name the dispatcher's name
     * @param build the version that it tells the other dispatchers
     * @return the extension; null where the file asks for nothing
     * @throws IOException if a directory or file that it names can't be used
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
     * What the dispatcher of that file tells of its leases, or answers to an operator's request.
     *
     * @param words the words after the command
     * @throws IOException if the dispatcher does not answer
     */
    public static String leases(String file, String[] words) throws IOException {
        OperatorFile settings = read(file);
        if (settings.leases() == null) {
            throw new InvalidInputException(file + ": has no [leases]");
        }
        return MembershipQuery.ask(settings.membership().listen(), "?leases" + question(words));
    }

    /**
     * How far the periodic jobs have come, as the dispatcher of that file tells it.
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
     * The members that the dispatcher of that file knows.
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

    private static String question(String[] words) {
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
                "\"" + request + "\": expected nothing, give NAME [TO], hold NAME TIME (as 10min),"
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
