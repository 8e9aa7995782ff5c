package rampshift.leases;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Who keeps the registers. While they change both sets count, each by its own majority.
 *
 * @param epoch rises by one with each step; 0: not known
 * @param now whose majority counts
 * @param next whose majority counts as well; empty except in the midst of a change
 */
public record AcceptorSet(long epoch, List<One> now, List<One> next) {

    /** The register in which the keepers themselves stand. */
    static final String REGISTER = "#keepers";
    static final AcceptorSet UNKNOWN = new AcceptorSet(0, List.of(), List.of());

    /**
     * A keeper by its name, and the number that its directory was given when it was made: a lost disk has
     * another.
     */
    public record One(String name, long id) {
        @Override
        public String toString() {
            return name + ":" + Long.toHexString(id);
        }
    }

    boolean known() {
        return epoch > 0;
    }

    boolean changing() {
        return !next.isEmpty();
    }

    boolean has(String name, long id) {
        return now.contains(new One(name, id)) || next.contains(new One(name, id));
    }

    Set<String> names() {
        Set<String> all = new LinkedHashSet<>();
        now.forEach(k -> all.add(k.name()));
        next.forEach(k -> all.add(k.name()));
        return all;
    }

    /**
     * Whether these are a majority of each set that counts. A name counts once, however often it answered.
     */
    boolean agreed(Collection<String> answered) {
        return known() && majority(now, answered) && (next.isEmpty() || majority(next, answered));
    }

    private static boolean majority(List<One> of, Collection<String> answered) {
        return of.stream().filter(k -> answered.contains(k.name())).count() * 2 > of.size();
    }

    /** As the note of a register. */
    String text() {
        return epoch + "|" + String.join(",", now.stream().map(One::toString).toList()) + "|"
                + String.join(",", next.stream().map(One::toString).toList());
    }

    /** Null where the text is none. */
    static AcceptorSet of(String text) {
        String[] parts = text.split("\\|", -1);
        if (parts.length != 3 || !parts[0].matches("\\d{1,18}")) {
            return null;
        }
        List<One> now = list(parts[1]);
        List<One> next = list(parts[2]);
        return now == null || next == null || now.isEmpty() ? null
                : new AcceptorSet(Long.parseLong(parts[0]), now, next);
    }

    private static List<One> list(String text) {
        List<One> all = new ArrayList<>();
        for (String one : text.isEmpty() ? new String[0] : text.split(",")) {
            int cut = one.lastIndexOf(':');
            if (cut < 1 || !one.substring(cut + 1).matches("[0-9a-f]{1,16}")) {
                return null;
            }
            all.add(new One(one.substring(0, cut), Long.parseUnsignedLong(one.substring(cut + 1), 16)));
        }
        return List.copyOf(all);
    }
}
