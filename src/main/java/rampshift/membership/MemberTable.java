package rampshift.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rampshift.membership.MemberUpdate.Status;

/** The other known members, by name. */
final class MemberTable {
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, String> addressOverrides;
    private final RandomDraws random;

    MemberTable(Map<String, String> addressOverrides, RandomDraws random) {
        this.addressOverrides = Map.copyOf(addressOverrides);
        this.random = random;
    }

    /** Returns the member with that name, or null. */
    Member get(String name) {
        return members.get(name);
    }

    boolean contains(String name) {
        return members.containsKey(name);
    }

    /** Returns all members, ordered by name. */
    Collection<Member> all() {
        return members.values();
    }

    boolean isFull() {
        return members.size() >= Codec.MAX_MEMBERS;
    }

    void add(Member member) {
        members.put(member.name(), member);
    }

    void remove(Member member) {
        members.remove(member.name());
    }

    /** Returns the number of members that are alive or suspect, including this process. */
    int reachableCount() {
        return 1 + (int) members.values().stream().filter(Member::isReachable).count();
    }

    /** Returns the number of members that have not left gracefully, including this process. */
    int knownCount() {
        return 1 + (int) members.values().stream().filter(member -> member.status() != Status.ENDED).count();
    }

    /** Returns up to the given number of reachable members, drawn at random. */
    List<Member> sample(int count) {
        return sampleExcept(count, null);
    }

    /** Returns up to the given number of reachable members, drawn at random, except the named one. */
    List<Member> sampleExcept(int count, String excluded) {
        List<Member> sample = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.isReachable() && !member.name().equals(excluded)) {
                sample.add(member);
            }
        }
        while (sample.size() > count) {
            sample.remove(random.nextInt(sample.size()));
        }
        return sample;
    }

    /** Returns the address where this process reaches the member. */
    String addressOf(Member member) {
        return addressOverrides.getOrDefault(member.name(), member.identity().address());
    }
}
