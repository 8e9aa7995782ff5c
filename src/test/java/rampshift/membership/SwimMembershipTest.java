package rampshift.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import rampshift.time.Span;

/** Members in simulated time. */
class SwimMembershipTest {
    private static final double PERIOD = SimulatedNetwork.RULES.period().millis() / 1000;

    private static double knownBy(int members, int late) {
        return SimulatedNetwork.RULES.knownBy(members, late).millis() / 1000;
    }

    private static SimulatedNetwork fleet(long seed, int count) {
        SimulatedNetwork net = new SimulatedNetwork(seed, count).startAll();
        assertTrue(net.until(30, net::agree) >= 0, "all find one another");
        return net;
    }

    private static long told(SimulatedNetwork net, Event.Kind kind) {
        return net.nodes.values().stream().mapToLong(n -> n.count(kind)).sum();
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3, 5, 8, 20})
    void oneThatIsKilledIsKnownToBeGoneByAllWithinTheStatedBound(int count) {
        for (long seed = 1; seed <= 20; seed++) {
            SimulatedNetwork net = fleet(seed, count);
            net.node(count).kill();
            assertTrue(net.until(knownBy(count, 1), net::agree) >= 0, "seed " + seed);
            assertEquals(count - 1, told(net, Event.Kind.FAILED));
            net.node(1).told.clear();
            net.node(count).start();
            assertTrue(net.until(30, net::agree) >= 0);
            assertEquals(1, net.node(1).count(Event.Kind.JOINED),
                    "a new process is a new incarnation at once");
        }
    }

    @Test
    void whoeverEndsInOrderIsNotSuspected() {
        SimulatedNetwork net = fleet(1, 5);
        net.node(3).roll.end(net.moment());
        net.run(1);
        net.node(3).kill();
        net.run(60);
        assertEquals(0, told(net, Event.Kind.SUSPECTED));
        assertEquals(4, told(net, Event.Kind.ENDED));
        assertEquals(MembershipHealth.WHOLE, net.node(1).roll.standing());
    }

    /** d1 does not reach d2, but d2 reaches d1, and the others reach both. */
    @Test
    void oneWayLostBetweenTwoMakesNobodyFail() {
        for (long seed = 1; seed <= 50; seed++) {
            SimulatedNetwork net = fleet(seed, 5);
            net.way("d1", "d2", 1);
            net.run(120);
            assertEquals(0, told(net, Event.Kind.SUSPECTED), "seed " + seed + ": others were asked to ask");
        }
    }

    @ParameterizedTest
    @CsvSource({"0.1,8", "0.3,5"})
    void losesAreOutlived(double loss, int count) {
        double longest = 0;
        for (long seed = 1; seed <= 50; seed++) {
            SimulatedNetwork net = fleet(seed, count);
            net.lostEverywhere = loss;
            net.run(120);
            net.heal();
            double again = net.until(knownBy(count, MembershipTimings.MOST_LATE), net::agree);
            assertTrue(again >= 0, "seed " + seed);
            longest = Math.max(longest, again);
            if (loss <= 0.1) {
                assertEquals(0, told(net, Event.Kind.FAILED), "seed " + seed);
            }
        }
    }

    @Test
    void oneThatStoodStillLearnsThatItWasTakenForFailedAndRefutes() {
        for (long seed = 1; seed <= 20; seed++) {
            SimulatedNetwork net = fleet(seed, 5);
            SimulatedNetwork.Node stalled = net.node(4);
            stalled.stop(true);
            assertTrue(net.until(knownBy(5, 1), () -> net.nodes.values().stream()
                    .allMatch(n -> n == stalled || n.of("d4") == MemberUpdate.Belief.FAILED)) >= 0);
            long accused = stalled.roll.counts().accused;
            stalled.stop(false);
            assertFalse(stalled.roll.standing().inAgreement(), "it acts on nothing that needs consent");
            assertTrue(net.until(30, net::agree) >= 0, "seed " + seed);
            assertTrue(stalled.count(Event.Kind.REFUTED) > 0);
            assertTrue(stalled.count(Event.Kind.STALLED) > 0);
            assertEquals(accused, stalled.roll.counts().accused,
                    "nor accuses those whose answers lay unread");
            assertTrue(stalled.roll.standing().inAgreement());
        }
    }

    @Test
    void threeOfFiveKilledAtOnceAndBack() {
        for (long seed = 1; seed <= 20; seed++) {
            SimulatedNetwork net = fleet(seed, 5);
            IntStream.of(1, 2, 3).forEach(i -> net.node(i).kill());
            net.run(0.8);
            IntStream.of(1, 2, 3).forEach(i -> net.node(i).start());
            assertTrue(net.until(30, net::agree) >= 0, "seed " + seed);
            assertEquals(0, told(net, Event.Kind.FAILED));
        }
    }

    @Test
    void aCutFleetKnowsWhichPartIsTheSmallerAndIsOneAgainAfterwards() {
        for (long seed = 1; seed <= 20; seed++) {
            SimulatedNetwork net = fleet(seed, 5);
            net.cut(List.of(List.of("d1", "d2"), List.of("d3", "d4", "d5")));
            net.run(knownBy(5, 1));
            assertEquals(MembershipHealth.MINOR, net.node(1).roll.standing());
            assertEquals(MembershipHealth.MISSING, net.node(5).roll.standing());
            net.heal();
            assertTrue(net.until(30, net::agree) >= 0, "seed " + seed);
            net.cut(net.nodes.keySet().stream().map(List::of).toList());
            net.run(knownBy(5, 1) * 2);
            net.nodes.values().forEach(n -> assertEquals(MembershipHealth.ALONE, n.roll.standing()));
            net.heal();
            assertTrue(net.until(60, net::agree) >= 0, "seed " + seed);
        }
    }

    @Test
    void withBothSeedsGoneForGoodACutHealsAllTheSame() {
        SimulatedNetwork net = fleet(6, 6);
        net.node(1).kill();
        net.node(2).kill();
        assertTrue(net.until(knownBy(6, 1) * 2, net::agree) >= 0);
        net.cut(List.of(List.of("d3", "d4"), List.of("d5", "d6")));
        net.run(knownBy(6, 1));
        assertEquals(MemberUpdate.Belief.FAILED, net.node(3).of("d6"));
        net.heal();
        assertTrue(net.until(60, net::agree) >= 0);
    }

    @Test
    void twoProcessesOfOneNameAreBothTold() {
        SimulatedNetwork net = fleet(3, 4);
        SimulatedNetwork.Node twin = net.new Node("d3", 9);
        net.nodes.put("d3-too", twin);
        twin.start(500);
        assertTrue(net.until(120, () -> twin.roll.standing() == MembershipHealth.TWIN
                && net.node(3).roll.standing() == MembershipHealth.TWIN) >= 0);
        twin.kill();
        net.nodes.remove("d3-too");
        assertTrue(net.until(120,
                () -> net.node(3).roll.standing() == MembershipHealth.WHOLE && net.agree()) >= 0);
    }

    @Test
    void aClockAnHourBackBeforeARestartMakesNoOldMemberOfIt() {
        SimulatedNetwork net = fleet(4, 4);
        net.node(2).kill();
        net.run(2);
        net.node(2).start(5);
        assertTrue(net.until(30, net::agree) >= 0);
        assertTrue(net.node(2).roll.self().incarnation() > 1_000_000,
                "it was told what its name had come to");
    }

    @Test
    void anIncarnationAtItsLargestIsRefusedOrBorneNotOverrun() {
        SimulatedNetwork net = fleet(4, 3);
        SwimMembership d1 = net.node(1).roll;
        MemberIdentity mine = net.node(2).roll.self();
        Codec codec = new Codec("fleet");
        MemberUpdate most =
                new MemberUpdate(mine.again(MemberIdentity.MOST), MemberUpdate.Belief.SUSPECT, "d3", 0);
        byte[] said =
                codec.write(new Message(Message.Kind.TELL, 0, "d3", "d1", "", List.of(most), List.of()));
        d1.datagram(net.moment(), net.node(3).address(), said, said.length);
        net.run(60);
        assertEquals(MemberIdentity.MOST, net.node(1).incarnations.get("d2"));
        assertTrue(net.node(2).roll.self().incarnation() <= MemberIdentity.MOST);
        byte[] beyond = codec.write(new Message(Message.Kind.TELL, 0, "d3", "d1", "",
                List.of(new MemberUpdate(mine.again(MemberIdentity.MOST + 1), MemberUpdate.Belief.ALIVE, "d3",
                        0)),
                List.of()));
        long odd = d1.counts().malformed;
        d1.datagram(net.moment(), net.node(3).address(), beyond, beyond.length);
        assertEquals(odd + 1, d1.counts().malformed);
    }

    @Test
    void aNameIsForgottenOnlyAfterTheStatedTime() {
        SimulatedNetwork net = fleet(5, 4);
        net.node(4).kill();
        net.run(SimulatedNetwork.RULES.forget().millis() / 1000 - 60);
        assertEquals(MemberUpdate.Belief.FAILED, net.node(1).of("d4"));
        net.run(200);
        net.nodes.values().stream().filter(n -> n.roll != null).forEach(n -> assertEquals(null, n.of("d4")));
    }

    @Test
    void newsOfADrainIsHeardByAllWithinMillisecondsAndOldNewsOverrulesNothing() {
        for (long seed = 1; seed <= 50; seed++) {
            SimulatedNetwork net = fleet(seed, 20);
            net.node(7).roll.learnt(net.moment(), new DrainNotice("s-1", 5, 12, DrainNotice.Kind.DRAINS));
            net.run(0.25);
            int late = (int) net.nodes.values().stream().filter(n -> n.roll.bulletin().of("s-1") == null)
                    .count();
            assertTrue(late <= 2, "seed " + seed + ", " + late);
            net.run(4 * PERIOD);
            net.nodes.values().forEach(n -> assertEquals(12, n.roll.bulletin().of("s-1").version()));
            net.node(3).roll.learnt(net.moment(), new DrainNotice("s-1", 5, 11, DrainNotice.Kind.GONE));
            net.node(4).roll.learnt(net.moment(), new DrainNotice("s-1", 4, 99, DrainNotice.Kind.GONE));
            net.run(4 * PERIOD);
            net.nodes.values().forEach(
                    n -> assertEquals(new DrainNotice("s-1", 5, 12, DrainNotice.Kind.DRAINS),
                            n.roll.bulletin().of("s-1")));
        }
    }

    /** Random faults, by seed: kills and returns, stalls, cuts, loss, repeats; then quiet. */
    @Test
    void afterAnyFaultsAndQuietAllAgree() {
        int seeds = Integer.getInteger("members.seeds", 300);
        for (long seed = 1; seed <= seeds; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            int count = 3 + chance.nextInt(6);
            SimulatedNetwork net = fleet(seed, count);
            for (int fault = 0; fault < 6; fault++) {
                SimulatedNetwork.Node one = net.node(1 + chance.nextInt(count));
                SimulatedNetwork.Node other = net.node(1 + chance.nextInt(count));
                switch (chance.nextInt(6)) {
                    case 0 -> {
                        one.kill();
                        net.at(chance.nextDouble() * 40, () -> {
                            if (one.roll == null) {
                                one.start(chance.nextInt(2_000_000));
                            }
                        });
                    }
                    case 1 -> {
                        one.stop(true);
                        net.at(chance.nextDouble() * 40, () -> one.stop(false));
                    }
                    case 2 -> net.way(one.name, other.name, 1);
                    case 3 -> net.lostEverywhere = chance.nextDouble() * 0.4;
                    case 4 -> net.repeated = 0.5;
                    default -> net.cut(List.of(List.of(one.name),
                            net.nodes.keySet().stream().filter(n -> !n.equals(one.name)).toList()));
                }
                net.run(chance.nextDouble() * 20);
                if (chance.nextInt(3) == 0) {
                    net.heal();
                }
            }
            net.heal();
            net.run(45);
            assertTrue(net.until(2 * knownBy(count, MembershipTimings.MOST_LATE), net::agree) >= 0,
                    "seed " + seed);
            net.nodes.values().forEach(n -> assertEquals(MembershipHealth.WHOLE, n.roll.standing(), n.name));
        }
    }

    @Test
    void fiveHundredFindOneAnotherLoseAFifthAreCutInHalfAndHeal() {
        int count = Integer.getInteger("members.large", 60);
        SimulatedNetwork net = new SimulatedNetwork(6, count).startAll();
        double found = net.until(60, net::agree);
        long bytes = net.nodes.values().stream().mapToLong(n -> n.roll.counts().sentBytes).sum();
        net.run(30);
        bytes = net.nodes.values().stream().mapToLong(n -> n.roll.counts().sentBytes).sum() - bytes;
        IntStream.rangeClosed(1, count / 5).forEach(i -> net.node(i + 2).kill());
        double lost = net.until(knownBy(count, 2), net::agree);
        IntStream.rangeClosed(1, count / 5).forEach(i -> net.node(i + 2).start());
        double back = net.until(60, net::agree);
        List<String> names = new ArrayList<>(net.nodes.keySet());
        net.cut(List.of(names.subList(0, count / 2), names.subList(count / 2, count)));
        net.run(60);
        assertNotEquals(MembershipHealth.WHOLE, net.node(1).roll.standing());
        net.heal();
        double healed = net.until(120, net::agree);
        System.out.printf(
                "members %d: all found after %.1f s, %.0f bytes a second and member at rest, a fifth known lost after "
                        + "%.1f s, back after %.1f s, healed after %.1f s%n",
                count, found, bytes / 30.0 / count, lost, back, healed);
        assertTrue(found >= 0 && lost >= 0 && back >= 0 && healed >= 0);
    }

    // ---- what comes over the wire

    @Test
    void eachDatagramCutOrChangedMovesNothingButCounters() {
        SimulatedNetwork net = fleet(7, 3);
        SwimMembership roll = net.node(1).roll;
        Codec codec = new Codec("fleet");
        MemberUpdate claim =
                new MemberUpdate(net.node(2).roll.self().again(1 << 30), MemberUpdate.Belief.FAILED, "d3", 7);
        byte[] good = codec.write(new Message(Message.Kind.TELL, 9, "d3", "d1", "", List.of(claim),
                List.of(new DrainNotice("s-1", 1, 2, DrainNotice.Kind.GONE))));
        List<MemberUpdate> before = roll.others();
        SplittableRandom chance = new SplittableRandom(7);
        for (int length = 0; length < good.length; length++) {
            roll.datagram(net.moment(), net.node(3).address(), good, length);
            byte[] changed = good.clone();
            changed[length] ^= (byte) (1 + chance.nextInt(255));
            roll.datagram(net.moment(), net.node(3).address(), changed, changed.length);
        }
        int random = Integer.getInteger("members.random", 100_000);
        for (int i = 0; i < random; i++) {
            byte[] any = new byte[chance.nextInt(200)];
            for (int b = 0; b < any.length; b++) {
                any[b] = (byte) chance.nextInt();
            }
            roll.datagram(net.moment(), net.node(3).address(), any, any.length);
        }
        byte[] foreign = new Codec("other")
                .write(new Message(Message.Kind.TELL, 9, "d3", "d1", "", List.of(claim), List.of()));
        roll.datagram(net.moment(), net.node(3).address(), foreign, foreign.length);
        assertEquals(before, roll.others());
        assertEquals(2L * good.length + random, roll.counts().malformed);
        assertEquals(1, roll.counts().foreign);
        assertEquals(null, roll.bulletin().of("s-1"));
        roll.datagram(net.moment(), net.node(3).address(), good, good.length);
        assertEquals(MemberUpdate.Belief.FAILED, net.node(1).of("d2"), "the whole one is believed");
    }

    @Test
    void whatIsBelievedOfOthersIsBounded() {
        SimulatedNetwork net = fleet(8, 3);
        SwimMembership roll = net.node(1).roll;
        Codec codec = new Codec("fleet");
        for (int i = 0; i < 3000; i++) {
            MemberIdentity card = new MemberIdentity("x" + i, 1, i, "10.9.0.1:7", "s", "b", 0,
                    MemberIdentity.Doing.SERVING);
            byte[] said = codec.write(new Message(Message.Kind.TELL, 0, "d2", "d1", "",
                    List.of(new MemberUpdate(card, MemberUpdate.Belief.ENDED, "d2", 0)),
                    List.of(new DrainNotice("w" + i, 1, i, DrainNotice.Kind.GONE),
                            new DrainNotice("v" + i, 1, i, DrainNotice.Kind.GONE))));
            roll.datagram(net.moment(), net.node(3).address(), said, said.length);
        }
        assertEquals(Codec.MOST_MEMBERS, roll.others().size());
        assertEquals(Codec.MOST_NEWS, roll.bulletin().all().size());
        assertTrue(roll.counts().noRoom > 900);
        assertEquals(Span.ofMillis(1000), SimulatedNetwork.RULES.period());
    }
}
