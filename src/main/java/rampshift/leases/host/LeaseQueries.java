package rampshift.leases.host;

import java.util.List;
import java.util.regex.Pattern;
import rampshift.leases.LeaseManager;
import rampshift.leases.ReconfigurationStart;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Answers the queries and requests that operators send with the command {@code leases}. */
final class LeaseQueries {
    private static final Pattern QUERY =
            Pattern.compile("\\?leases( give [!-~]+( [!-~]+)?| hold [!-~]+ \\d{1,16}| keepers [!-~]+)?");
    private static final String ANY_DISPATCHER = "*";
    private static final int COMMAND = 1;
    private static final int LEASE = 2;
    private static final int ARGUMENT = 3;

    private final LeaseManager leases;

    LeaseQueries(LeaseManager leases) {
        this.leases = leases;
    }

    /** Returns the answer; null if the query is not about leases. */
    String answer(String query, Moment now) {
        if (!QUERY.matcher(query).matches()) {
            return null;
        }
        String[] words = query.split(" ", -1);
        if (words.length <= COMMAND) {
            return leases.statusPage(now);
        }
        return switch (words[COMMAND]) {
            case "give" -> {
                String to = words.length > ARGUMENT ? words[ARGUMENT] : ANY_DISPATCHER;
                yield confirmation(leases.handOver(now, words[LEASE], to), words[LEASE]);
            }
            case "hold" -> {
                Span length = new Span(Long.parseLong(words[ARGUMENT]));
                yield confirmation(leases.block(now, words[LEASE], length), words[LEASE]);
            }
            default -> reconfigure(now, words[LEASE]);
        };
    }

    private String reconfigure(Moment now, String names) {
        ReconfigurationStart start = leases.reconfigure(now, List.of(names.split(",", 0)));
        return start == ReconfigurationStart.BEGUN ? "begun; \"rampshift leases\" shows the progress\n"
                : "not begun: " + start.reason() + "\n";
    }

    private static String confirmation(boolean exists, String lease) {
        return exists ? "told; \"rampshift leases\" shows the result\n"
                : "there is no lease " + lease + "\n";
    }
}
