package rampshift.leases;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The acceptors of one epoch. During a reconfiguration a quorum consists of a majority of the current members
 * and a majority of the joining members.
 *
 * @param epoch increases by one with each step of a reconfiguration; 0 while the acceptors are not known
 * @param current members of whom a majority is required
 * @param joining members of whom a majority is required as well; empty except during a reconfiguration
 */
public record AcceptorSet(long epoch, List<Member> current, List<Member> joining) {

    /** The register that holds the acceptor set itself. */
    static final String REGISTER = "#keepers";
    static final AcceptorSet UNKNOWN = new AcceptorSet(0, List.of(), List.of());

    private static final int ENCODED_PARTS = 3;

    /**
     * One acceptor.
     *
     * @param name name of its dispatcher
     * @param id number given to its directory on creation; the directory on a replaced disk has another one
     */
    public record Member(String name, long id) {
        @Override
        public String toString() {
            return name + ":" + Long.toHexString(id);
        }
    }

    boolean isKnown() {
        return epoch > 0;
    }

    boolean isChanging() {
        return !joining.isEmpty();
    }

    boolean contains(String name, long id) {
        Member member = new Member(name, id);
        return current.contains(member) || joining.contains(member);
    }

    /** Returns the names of all members, current members first. */
    Set<String> names() {
        Set<String> names = new LinkedHashSet<>();
        current.forEach(member -> names.add(member.name()));
        joining.forEach(member -> names.add(member.name()));
        return names;
    }

    /** Returns whether these members form a quorum. A name counts once even if it is given repeatedly. */
    boolean hasQuorum(Collection<String> replied) {
        return isKnown() && hasMajority(current, replied)
                && (joining.isEmpty() || hasMajority(joining, replied));
    }

    private static boolean hasMajority(List<Member> members, Collection<String> replied) {
        return members.stream().filter(member -> replied.contains(member.name())).count() * 2 > members
                .size();
    }

    /** Encodes the set as {@code epoch|name:id,...|name:id,...} with hexadecimal ids. */
    String encode() {
        return epoch + "|" + encode(current) + "|" + encode(joining);
    }

    private static String encode(List<Member> members) {
        return String.join(",", members.stream().map(Member::toString).toList());
    }

    /** Parses the text format of {@link #encode}; returns null if the text is malformed. */
    static AcceptorSet parse(String text) {
        String[] parts = text.split("\\|", -1);
        if (parts.length != ENCODED_PARTS || !parts[0].matches("\\d{1,18}")) {
            return null;
        }
        List<Member> current = parseMembers(parts[1]);
        List<Member> joining = parseMembers(parts[2]);
        if (current == null || joining == null || current.isEmpty()) {
            return null;
        }
        return new AcceptorSet(Long.parseLong(parts[0]), current, joining);
    }

    private static List<Member> parseMembers(String text) {
        if (text.isEmpty()) {
            return List.of();
        }
        List<Member> members = new ArrayList<>();
        for (String member : text.split(",", -1)) {
            int separator = member.lastIndexOf(':');
            String id = member.substring(separator + 1);
            if (separator < 1 || !id.matches("[0-9a-f]{1,16}")) {
                return null;
            }
            members.add(new Member(member.substring(0, separator), Long.parseUnsignedLong(id, 16)));
        }
        return List.copyOf(members);
    }
}
