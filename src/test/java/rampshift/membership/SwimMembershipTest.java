package rampshift.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import rampshift.membership.MemberUpdate.Status;
import rampshift.membership.MembershipMetrics.Counter;
import rampshift.time.Span;

/** Tests members in a simulated network. */
class SwimMembershipTest {
    private static final double PERIOD_SECONDS = SimulatedNetwork.TIMINGS.period().millis() / 1000;

    private static double detectionBoundSeconds(int members, int healthMultiplier) {
        return SimulatedNetwork.TIMINGS.detectionBound(members, healthMultiplier).millis() / 1000;
    }

    private static SimulatedNetwork startedFleet(long seed, int count) {
        SimulatedNetwork network = new SimulatedNetwork(seed, count).startAll();
        assertTrue(network.until(30, network::agree) >= 0, "all members discover one another");
        return network;
    }

    private static long eventCount(SimulatedNetwork network, MembershipEvent.Kind kind) {
        return network.nodes.values().stream().mapToLong(node -> node.eventCount(kind)).sum();
    }

    private static byte[] encodeGossip(Codec codec, String from, List<MemberUpdate> updates,
            List<DrainNotice> notices) {
        return codec.encode(new Message(from, "d1", new MessageBody.Gossip(), updates, notices));
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3, 5, 8, 20})
    void allDetectAKilledMemberWithinTheDetectionBound(int count) {
        for (long seed = 1; seed <= 20; seed++) {
            SimulatedNetwork network = startedFleet(seed, count);
            network.node(count).kill();
            assertTrue(network.until(detectionBoundSeconds(count, 1), network::agree) >= 0, "seed " + seed);
            assertEquals(count - 1, eventCount(network, MembershipEvent.Kind.FAILED));
            network.node(1).events.clear();
            network.node(count).start();
            assertTrue(network.until(30, network::agree) >= 0);
            assertEquals(1, network.node(1).eventCount(MembershipEvent.Kind.JOINED),
                    "a restart is reported as one join");
        }
    }

    @Test
    void aMemberThatLeavesGracefullyIsNotSuspected() {
        SimulatedNetwork network = startedFleet(1, 5);
        network.node(3).membership.leave(network.moment());
        network.run(1);
        network.node(3).kill();
        network.run(60);
        assertEquals(0, eventCount(network, MembershipEvent.Kind.SUSPECTED));
        assertEquals(4, eventCount(network, MembershipEvent.Kind.ENDED));
        assertEquals(MembershipHealth.COMPLETE, network.node(1).membership.health());
    }

    /** Guards against a suspicion if d1 cannot reach d2, but d2 reaches d1 and the others reach both. */
    @Test
    void aLinkCutInOneDirectionCausesNoSuspicion() {
        for (long seed = 1; seed <= 50; seed++) {
            SimulatedNetwork network = startedFleet(seed, 5);
            network.setLoss("d1", "d2", 1);
            network.run(120);
            assertEquals(0, eventCount(network, MembershipEvent.Kind.SUSPECTED),
                    "seed " + seed + ": indirect probes are answered");
        }
    }

    @ParameterizedTest
    @CsvSource({"0.1,8", "0.3,5"})
    void allAgreeAgainAfterDatagramLoss(double loss, int count) {
        for (long seed = 1; seed <= 50; seed++) {
            SimulatedNetwork network = startedFleet(seed, count);
            network.lossEverywhere = loss;
            network.run(120);
            network.heal();
            double bound = detectionBoundSeconds(count, LocalHealth.MAX_SCORE);
            assertTrue(network.until(bound, network::agree) >= 0, "seed " + seed);
            if (loss <= 0.1) {
                assertEquals(0, eventCount(network, MembershipEvent.Kind.FAILED), "seed " + seed);
            }
        }
    }

    @Test
    void aPausedMemberRefutesThatItHasFailed() {
        for (long seed = 1; seed <= 20; seed++) {
            SimulatedNetwork network = startedFleet(seed, 5);
            SimulatedNetwork.Node paused = network.node(4);
            paused.pause();
            assertTrue(network.until(detectionBoundSeconds(5, 1), () -> network.nodes.values().stream()
                    .allMatch(node -> node == paused || node.statusOf("d4") == Status.FAILED)) >= 0);
            long suspected = paused.membership.metrics().get(Counter.SUSPECTED);
            paused.resume();
            assertFalse(paused.membership.health().isInAgreement(), "no agreement after a stall");
            assertTrue(network.until(30, network::agree) >= 0, "seed " + seed);
            assertTrue(paused.eventCount(MembershipEvent.Kind.REFUTED) > 0);
            assertTrue(paused.eventCount(MembershipEvent.Kind.STALLED) > 0);
            assertEquals(suspected, paused.membership.metrics().get(Counter.SUSPECTED),
                    "it must not suspect members whose answers were unread");
            assertTrue(paused.membership.health().isInAgreement());
        }
    }

    @Test
    void threeOfFiveThatRestartTogetherAreNotDeclaredFailed() {
        for (long seed = 1; seed <= 20; seed++) {
            SimulatedNetwork network = startedFleet(seed, 5);
            IntStream.of(1, 2, 3).forEach(i -> network.node(i).kill());
            network.run(0.8);
            IntStream.of(1, 2, 3).forEach(i -> network.node(i).start());
            assertTrue(network.until(30, network::agree) >= 0, "seed " + seed);
            assertEquals(0, eventCount(network, MembershipEvent.Kind.FAILED));
        }
    }

    @Test
    void aPartitionedFleetDetectsItsMinorityAndMergesAfterwards() {
        for (long seed = 1; seed <= 20; seed++) {
            SimulatedNetwork network = startedFleet(seed, 5);
            network.partition(List.of(List.of("d1", "d2"), List.of("d3", "d4", "d5")));
            network.run(detectionBoundSeconds(5, 1));
            assertEquals(MembershipHealth.MINORITY, network.node(1).membership.health());
            assertEquals(MembershipHealth.MAJORITY, network.node(5).membership.health());
            network.heal();
            assertTrue(network.until(30, network::agree) >= 0, "seed " + seed);
            network.partition(network.nodes.keySet().stream().map(List::of).toList());
            network.run(detectionBoundSeconds(5, 1) * 2);
            network.nodes.values()
                    .forEach(node -> assertEquals(MembershipHealth.ISOLATED, node.membership.health()));
            network.heal();
            assertTrue(network.until(60, network::agree) >= 0, "seed " + seed);
        }
    }

    @Test
    void aPartitionHealsWithoutTheSeeds() {
        SimulatedNetwork network = startedFleet(6, 6);
        network.node(1).kill();
        network.node(2).kill();
        assertTrue(network.until(detectionBoundSeconds(6, 1) * 2, network::agree) >= 0);
        network.partition(List.of(List.of("d3", "d4"), List.of("d5", "d6")));
        network.run(detectionBoundSeconds(6, 1));
        assertEquals(Status.FAILED, network.node(3).statusOf("d6"));
        network.heal();
        assertTrue(network.until(60, network::agree) >= 0);
    }

    @Test
    void twoProcessesOfOneNameBothReportTheConflict() {
        SimulatedNetwork network = startedFleet(3, 4);
        SimulatedNetwork.Node duplicate = network.new Node("d3", 9);
        network.nodes.put("d3-too", duplicate);
        duplicate.start(500);
        assertTrue(network.until(120, () -> duplicate.membership.health() == MembershipHealth.NAME_CONFLICT
                && network.node(3).membership.health() == MembershipHealth.NAME_CONFLICT) >= 0);
        duplicate.kill();
        network.nodes.remove("d3-too");
        assertTrue(network.until(120, () -> network.node(3).membership.health() == MembershipHealth.COMPLETE
                && network.agree()) >= 0);
    }

    @Test
    void aRestartWithAnEarlierClockTakesAHigherIncarnation() {
        SimulatedNetwork network = startedFleet(4, 4);
        network.node(2).kill();
        network.run(2);
        network.node(2).start(5);
        assertTrue(network.until(30, network::agree) >= 0);
        assertTrue(network.node(2).membership.self().incarnation() > 1_000_000,
                "it must learn the last incarnation of its name");
    }

    @Test
    void theHighestIncarnationIsAcceptedAndAHigherOneIsMalformed() {
        SimulatedNetwork network = startedFleet(4, 3);
        SwimMembership receiver = network.node(1).membership;
        MemberIdentity claimed = network.node(2).membership.self();
        Codec codec = new Codec(SimulatedNetwork.FLEET);
        MemberUpdate highest = MemberUpdate.of(claimed.withIncarnation(MemberIdentity.MAX_INCARNATION),
                Status.SUSPECT, "d3");
        byte[] accepted = encodeGossip(codec, "d3", List.of(highest), List.of());
        receiver.onDatagram(network.moment(), network.node(3).address(), accepted, accepted.length);
        network.run(60);
        assertEquals(MemberIdentity.MAX_INCARNATION, network.node(1).incarnations.get("d2"));
        assertTrue(network.node(2).membership.self().incarnation() <= MemberIdentity.MAX_INCARNATION);
        MemberUpdate beyond = MemberUpdate.of(claimed.withIncarnation(MemberIdentity.MAX_INCARNATION + 1),
                Status.ALIVE, "d3");
        byte[] rejected = encodeGossip(codec, "d3", List.of(beyond), List.of());
        long malformed = receiver.metrics().get(Counter.MALFORMED);
        receiver.onDatagram(network.moment(), network.node(3).address(), rejected, rejected.length);
        assertEquals(malformed + 1, receiver.metrics().get(Counter.MALFORMED));
    }

    @Test
    void aFailedMemberIsForgottenOnlyAfterTheConfiguredTime() {
        SimulatedNetwork network = startedFleet(5, 4);
        network.node(4).kill();
        network.run(SimulatedNetwork.TIMINGS.forgetAfter().millis() / 1000 - 60);
        assertEquals(Status.FAILED, network.node(1).statusOf("d4"));
        network.run(200);
        network.nodes.values().stream().filter(SimulatedNetwork.Node::isRunning)
                .forEach(node -> assertNull(node.statusOf("d4")));
    }

    @Test
    void aDrainNoticeReachesMostAtOnceAndAllSoonAndOlderOnesAreIgnored() {
        for (long seed = 1; seed <= 50; seed++) {
            SimulatedNetwork network = startedFleet(seed, 20);
            DrainNotice newest = new DrainNotice("s-1", 5, 12, DrainNotice.Kind.DRAINING);
            network.node(7).membership.announce(network.moment(), newest);
            network.run(0.25);
            long uninformed = network.nodes.values().stream()
                    .filter(node -> node.membership.drainNotices().get("s-1") == null).count();
            assertTrue(uninformed <= 2, "seed " + seed + ", " + uninformed);
            network.run(4 * PERIOD_SECONDS);
            network.nodes.values().forEach(
                    node -> assertEquals(12, node.membership.drainNotices().get("s-1").listVersion()));
            network.node(3).membership.announce(network.moment(),
                    new DrainNotice("s-1", 5, 11, DrainNotice.Kind.REMOVED));
            network.node(4).membership.announce(network.moment(),
                    new DrainNotice("s-1", 4, 99, DrainNotice.Kind.REMOVED));
            network.run(4 * PERIOD_SECONDS);
            network.nodes.values()
                    .forEach(node -> assertEquals(newest, node.membership.drainNotices().get("s-1")));
        }
    }

    /** Injects random faults by seed: kills and restarts, pauses, cuts, loss and duplicates; then none. */
    @Test
    void allAgreeAfterRandomFaultsEnd() {
        int seeds = Integer.getInteger("members.seeds", 300);
        for (long seed = 1; seed <= seeds; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int count = 3 + random.nextInt(6);
            SimulatedNetwork network = startedFleet(seed, count);
            for (int fault = 0; fault < 6; fault++) {
                injectFault(network, random);
                network.run(random.nextDouble() * 20);
                if (random.nextInt(3) == 0) {
                    network.heal();
                }
            }
            network.heal();
            network.run(45);
            double bound = 2 * detectionBoundSeconds(count, LocalHealth.MAX_SCORE);
            assertTrue(network.until(bound, network::agree) >= 0, "seed " + seed);
            network.nodes.values().forEach(
                    node -> assertEquals(MembershipHealth.COMPLETE, node.membership.health(), node.name));
        }
    }

    private static void injectFault(SimulatedNetwork network, SplittableRandom random) {
        SimulatedNetwork.Node node = network.node(1 + random.nextInt(network.nodes.size()));
        SimulatedNetwork.Node other = network.node(1 + random.nextInt(network.nodes.size()));
        switch (random.nextInt(6)) {
            case 0 -> {
                node.kill();
                network.at(random.nextDouble() * 40, () -> {
                    if (!node.isRunning()) {
                        node.start(random.nextInt(2_000_000));
                    }
                });
            }
            case 1 -> {
                node.pause();
                network.at(random.nextDouble() * 40, node::resume);
            }
            case 2 -> network.setLoss(node.name, other.name, 1);
            case 3 -> network.lossEverywhere = random.nextDouble() * 0.4;
            case 4 -> network.duplicationRate = 0.5;
            default -> {
                List<String> others =
                        network.nodes.keySet().stream().filter(name -> !name.equals(node.name)).toList();
                network.partition(List.of(List.of(node.name), others));
            }
        }
    }

    @Test
    void aLargeFleetRecoversFromLosingAFifthAndFromAPartition() {
        int count = Integer.getInteger("members.large", 60);
        SimulatedNetwork network = new SimulatedNetwork(6, count).startAll();
        double discovered = network.until(60, network::agree);
        long bytesBefore = sentBytes(network);
        network.run(30);
        long bytes = sentBytes(network) - bytesBefore;
        IntStream.rangeClosed(1, count / 5).forEach(i -> network.node(i + 2).kill());
        double detected = network.until(detectionBoundSeconds(count, 2), network::agree);
        IntStream.rangeClosed(1, count / 5).forEach(i -> network.node(i + 2).start());
        double rejoined = network.until(60, network::agree);
        List<String> names = new ArrayList<>(network.nodes.keySet());
        network.partition(List.of(names.subList(0, count / 2), names.subList(count / 2, count)));
        network.run(60);
        assertNotEquals(MembershipHealth.COMPLETE, network.node(1).membership.health());
        network.heal();
        double healed = network.until(120, network::agree);
        System.out.printf(
                "members %d: all found after %.1f s, %.0f bytes per second and member, loss of a fifth "
                        + "detected after %.1f s, rejoined after %.1f s, healed after %.1f s%n",
                count, discovered, bytes / 30.0 / count,
                detected, rejoined, healed);
        assertTrue(discovered >= 0 && detected >= 0 && rejoined >= 0 && healed >= 0);
    }

    private static long sentBytes(SimulatedNetwork network) {
        return network.nodes.values().stream()
                .mapToLong(node -> node.membership.metrics().get(Counter.SENT_BYTES)).sum();
    }

    @Test
    void truncatedChangedAndForeignDatagramsOnlyIncrementCounters() {
        SimulatedNetwork network = startedFleet(7, 3);
        SwimMembership receiver = network.node(1).membership;
        String sender = network.node(3).address();
        MemberIdentity claimed = network.node(2).membership.self().withIncarnation(1 << 30);
        MemberUpdate update = new MemberUpdate(claimed, Status.FAILED, "d3", 7);
        byte[] good = encodeGossip(new Codec(SimulatedNetwork.FLEET), "d3", List.of(update),
                List.of(new DrainNotice("s-1", 1, 2, DrainNotice.Kind.REMOVED)));
        List<MemberUpdate> before = receiver.others();
        SplittableRandom random = new SplittableRandom(7);
        for (int length = 0; length < good.length; length++) {
            receiver.onDatagram(network.moment(), sender, good, length);
            byte[] changed = good.clone();
            changed[length] ^= (byte) (1 + random.nextInt(255));
            receiver.onDatagram(network.moment(), sender, changed, changed.length);
        }
        int randomDatagrams = Integer.getInteger("members.random", 100_000);
        for (int i = 0; i < randomDatagrams; i++) {
            byte[] datagram = new byte[random.nextInt(200)];
            for (int j = 0; j < datagram.length; j++) {
                datagram[j] = (byte) random.nextInt();
            }
            receiver.onDatagram(network.moment(), sender, datagram, datagram.length);
        }
        byte[] foreign = encodeGossip(new Codec("other"), "d3", List.of(update), List.of());
        receiver.onDatagram(network.moment(), sender, foreign, foreign.length);
        assertEquals(before, receiver.others());
        assertEquals(2L * good.length + randomDatagrams, receiver.metrics().get(Counter.MALFORMED));
        assertEquals(1, receiver.metrics().get(Counter.FOREIGN));
        assertNull(receiver.drainNotices().get("s-1"));
        receiver.onDatagram(network.moment(), sender, good, good.length);
        assertEquals(Status.FAILED, network.node(1).statusOf("d2"), "the unchanged datagram is accepted");
    }

    @Test
    void theViewAndTheDrainNoticesAreBounded() {
        SimulatedNetwork network = startedFleet(8, 3);
        SwimMembership receiver = network.node(1).membership;
        Codec codec = new Codec(SimulatedNetwork.FLEET);
        for (int i = 0; i < 3000; i++) {
            MemberIdentity member = new MemberIdentity("x" + i, 1, i, "10.9.0.1:7", "s", "b", 0,
                    MemberIdentity.Phase.SERVING);
            List<DrainNotice> notices = List.of(new DrainNotice("w" + i, 1, i, DrainNotice.Kind.REMOVED),
                    new DrainNotice("v" + i, 1, i, DrainNotice.Kind.REMOVED));
            byte[] datagram =
                    encodeGossip(codec, "d2", List.of(MemberUpdate.of(member, Status.ENDED, "d2")), notices);
            receiver.onDatagram(network.moment(), network.node(3).address(), datagram, datagram.length);
        }
        assertEquals(Codec.MAX_MEMBERS, receiver.others().size());
        assertEquals(Codec.MAX_DRAIN_NOTICES, receiver.drainNotices().all().size());
        assertTrue(receiver.metrics().get(Counter.OVER_CAPACITY) > 900);
        assertEquals(Span.ofMillis(1000), SimulatedNetwork.TIMINGS.period());
    }
}
