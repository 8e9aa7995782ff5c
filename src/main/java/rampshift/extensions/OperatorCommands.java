package rampshift.extensions;

import java.io.IOException;
import java.nio.file.Path;
import rampshift.leases.host.LeaseHost;
import rampshift.membership.host.MembershipQuery;
import rampshift.membership.host.MembershipTransport;
import rampshift.serve.ServerExtension;
import rampshift.settings.InvalidInputException;
import rampshift.toml.ConfigurationException;

/**
 * What the command line asks of an operator's file. Loaded by name, from a jar that a plain start never
 * opens.
 */
public final class OperatorCommands {
    private OperatorCommands() {}

    /** What that file asks to run beside a dispatcher of that name; null where it asks for nothing. */
    public static ServerExtension beside(String file, String name, String build) throws IOException {
        OperatorFile read = read(file);
        if (read.members() == null) {
            return null;
        }
        return new MembershipTransport(read.members(), name, build, read.leases() == null ? null
                : new LeaseExtension(new LeaseHost(read.leases(), name), read.duties()));
    }

    /** What is asked, and told, of leases by the dispatcher of that file: words as on the command line. */
    public static String leases(String file, String[] words) throws IOException {
        OperatorFile read = read(file);
        if (read.leases() == null) {
            throw new InvalidInputException(file + ": has no [leases]");
        }
        return MembershipQuery.ask(read.members().listen(), "?leases" + question(words));
    }

    /** How far the fleet's duties have come, as text. */
    public static String duties(String file) throws IOException {
        OperatorFile read = read(file);
        if (read.duties().isEmpty()) {
            throw new InvalidInputException(file + ": has no [[duty]]");
        }
        return MembershipQuery.ask(read.members().listen(), "?duties");
    }

    private static String question(String[] words) {
        String all = String.join(" ", words);
        if (words.length == 0) {
            return "";
        }
        if (all.matches("give [!-~]+( [!-~]+)?|keepers [!-~]+")) {
            return " " + all;
        }
        if (all.matches("hold [!-~]+ (\\d{1,9})(ms|s|min|h)")) {
            String time = words[2];
            long number = Long.parseLong(time.replaceAll("\\D", ""));
            long micros = number * switch (time.replaceAll("\\d", "")) {
                case "ms" -> 1000L;
                case "s" -> 1_000_000L;
                case "min" -> 60_000_000L;
                default -> 3_600_000_000L;
            };
            return " hold " + words[1] + " " + micros;
        }
        throw new InvalidInputException("\"" + all
                + "\": expected nothing, give NAME [TO], hold NAME TIME (as 10min), or keepers NAME,NAME,...");
    }

    /** Whom the dispatcher of that file knows, as text. */
    public static String members(String file) throws IOException {
        OperatorFile read = read(file);
        if (read.members() == null) {
            throw new InvalidInputException(file + ": has no [members]");
        }
        return MembershipQuery.members(read.members().listen());
    }

    private static OperatorFile read(String file) {
        try {
            return OperatorFile.read(Path.of(file));
        } catch (ConfigurationException e) {
            throw new InvalidInputException(e.getMessage());
        }
    }
}
