package rampshift.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rampshift.membership.MemberUpdate.Status;

/** The other members that are known, by name. */
final class MemberTable {
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, String> addressOverrides;
    private final RandomDraws random;

    MemberTable(Map<String, String> addressOverrides, RandomDraws random) {
        this.addressOverrides = Map.copyOf(addressOverrides);
        this.random = random;
    }

    /** The member of that name, or null. */
    Member get(String name) {
        return members.get(name);
    }

    boolean contains(String name) {
        return members.containsKey(name);
    }

    /** All members in the order of their names. */
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

    /** The number of members that are alive or suspect, this process among them. */
    int reachableCount() {
        return 1 + (int) members.values().stream().filter(Member::isReachable).count();
    }

    /** The number of members that have not ended in order, this process among them. */
    int knownCount() {
        return 1 + (int) members.values().stream().filter(member -> member.status() != Status.ENDED).count();
    }

    /** Up to so many reachable members, drawn at random. */
    List<Member> sample(int count) {
        return sampleExcept(count, null);
    }

    /** Up to so many reachable members, drawn at random, without the one of that name. */
    List<Member> sampleExcept(int count, String excluded) {
        List<Member> sample = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.isReachable() && !member.name().equals(excluded)) {
                sample.add(member);
            }
        }
        while (sample.size() > count) {
            sample.remove(random.below(sample.size()));
        }
        return sample;
    }

    /** Where the member is reached from here. */
    String addressOf(Member member) {
        return addressOverrides.getOrDefault(member.name(), member.identity().address());
    }
}
