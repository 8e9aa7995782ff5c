package rampshift.leases;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import rampshift.leases.LeaseSimulation.Dispatcher;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Tests leases over a simulated network: three acceptors among five dispatchers, a term of 1 s, clock drift
 * of up to 5%. The simulation asserts after every event that no two dispatchers may act under the same lease.
 */
class LeaseManagerTest {
    private static final String LEASE = "l0";
    private static final LeaseEvent LOST = LeaseEvent.ofAcceptor(EventType.ACCEPTOR_STATE, "LOST");
    private static final LeaseEvent VOTING = LeaseEvent.ofAcceptor(EventType.ACCEPTOR_STATE, "VOTING");
    /** Prefix of the encoded acceptor set after the first reconfiguration is complete. */
    private static final String THIRD_EPOCH = "3|";
    private static final int MAX_REGISTERS = 4096;

    private static LeaseSimulation fiveDispatchers() {
        LeaseSimulation simulation = new LeaseSimulation(1, 5, 3, 1).startAll();
        assertActsWithin(5, simulation);
        return simulation;
    }

    private static double assertActsWithin(double seconds, LeaseSimulation simulation) {
        double elapsed = simulation.runUntil(seconds, () -> simulation.actor(LEASE) != null);
        assertTrue(elapsed >= 0, "a dispatcher acquires the lease");
        return elapsed;
    }

    private static Dispatcher holder(LeaseSimulation simulation) {
        return simulation.dispatchers.get(simulation.actor(LEASE));
    }

    /** A copy of a dispatcher's disk. */
    private record DiskCopy(Map<String, byte[]> files, long recordCount) {
        /** Copies the disk, then restarts and runs the dispatcher, so that the copy is outdated. */
        static DiskCopy takeBeforeRestart(LeaseSimulation simulation, Dispatcher dispatcher) {
            DiskCopy copy = new DiskCopy(new TreeMap<>(dispatcher.disk), dispatcher.recordCount);
            dispatcher.kill();
            dispatcher.start();
            simulation.run(3);
            return copy;
        }

        /** Restarts the dispatcher with the copy as its disk. */
        void restore(Dispatcher dispatcher) {
            dispatcher.kill();
            dispatcher.disk = new TreeMap<>(files);
            dispatcher.recordCount = recordCount;
            dispatcher.start();
        }
    }

    @Test
    void oneDispatcherAcquiresALeaseAndKeepsIt() {
        LeaseSimulation simulation = fiveDispatchers();
        String first = simulation.actor(LEASE);
        simulation.run(30);
        assertEquals(first, simulation.actor(LEASE));
        assertEquals(1, simulation.highestToken(LEASE));
    }

    @Test
    void anotherDispatcherAcquiresALeaseWithinTwoTermsOfItsHoldersCrash() {
        LeaseSimulation simulation = fiveDispatchers();
        holder(simulation).kill();
        double seconds = assertActsWithin(3, simulation);
        assertTrue(seconds > 0.7 && seconds < 2, seconds + " s");
        assertEquals(2, simulation.highestToken(LEASE));
    }

    @Test
    void aGracefulShutdownReleasesALeaseForAPromptTakeover() {
        LeaseSimulation simulation = fiveDispatchers();
        Dispatcher first = holder(simulation);
        first.manager.shutDown(first.clock());
        double seconds = assertActsWithin(3, simulation);
        assertTrue(seconds < 0.5, seconds + " s");
        assertNotEquals(first.name, simulation.actor(LEASE));
    }

    @Test
    void aPartitionedHolderStopsActingBeforeAnotherDispatcherActs() {
        LeaseSimulation simulation = fiveDispatchers();
        Dispatcher first = holder(simulation);
        first.cutOff = true;
        double stopped = simulation.runUntil(3, () -> !first.mayAct(LEASE));
        assertTrue(stopped <= 0.9, stopped + " s");
        assertTrue(assertActsWithin(3, simulation) > 0);
        assertTrue(first.hasReported(EventType.EXPIRED, ""), "the former holder reports the expiry");
    }

    @Test
    void aHolderThatWasPausedDoesNotActAfterwards() {
        LeaseSimulation simulation = fiveDispatchers();
        Dispatcher first = holder(simulation);
        first.setPaused(true);
        simulation.run(3);
        assertNotEquals(first.name, simulation.actor(LEASE));
        first.setPaused(false);
        assertFalse(first.mayAct(LEASE));
        simulation.run(1);
        assertNotEquals(first.name, simulation.actor(LEASE));
    }

    @Test
    void noDispatcherActsWithoutAMajorityOfAcceptorsUntilItReturns() {
        LeaseSimulation simulation = fiveDispatchers();
        simulation.dispatcher(1).kill();
        simulation.dispatcher(2).kill();
        simulation.run(3600);
        assertNull(simulation.actor(LEASE));
        Dispatcher third = simulation.dispatcher(3);
        String page = third.manager.statusPage(third.clock());
        assertTrue(page.contains("no keeper has answered for ") || page.contains("asks the keepers"), page);
        simulation.dispatcher(1).start();
        assertActsWithin(10, simulation);
    }

    @Test
    void acceptorsThatCrashTogetherRecoverTheirStateFromDisk() {
        LeaseSimulation simulation = fiveDispatchers();
        long before = simulation.highestToken(LEASE);
        simulation.dispatchers.values().forEach(Dispatcher::kill);
        simulation.run(1);
        simulation.dispatchers.values().forEach(Dispatcher::start);
        assertActsWithin(10, simulation);
        assertEquals(before + 1, simulation.highestToken(LEASE));
    }

    @Test
    void anAcceptorWithALostDiskDoesNotVoteBeforeAReconfigurationAddsIt() {
        LeaseSimulation simulation = fiveDispatchers();
        Dispatcher lost = simulation.dispatcher(1);
        new DiskCopy(new TreeMap<>(), 0).restore(lost);
        simulation.run(3);
        assertTrue(lost.events.contains(LOST), lost.events.toString());
        simulation.dispatcher(2).kill();
        simulation.run(5);
        assertNull(simulation.actor(LEASE), "the acceptor with the lost disk does not vote");
        simulation.dispatcher(2).start();
        assertActsWithin(10, simulation);
        Dispatcher any = simulation.dispatcher(4);
        assertEquals(ReconfigurationStart.BEGUN,
                any.manager.reconfigure(any.clock(), List.of("d1", "d2", "d3")));
        assertTrue(
                simulation.runUntil(10,
                        () -> lost.events.contains(VOTING)
                                && lost.hasReported(EventType.ACCEPTOR_SET, THIRD_EPOCH)) >= 0,
                lost.events.toString());
        simulation.dispatcher(2).kill();
        simulation.run(5);
        assertNotNull(simulation.actor(LEASE), "the acceptor votes after the reconfiguration");
    }

    @Test
    void anAcceptorWithAnOldCopyOfItsDiskDoesNotVote() {
        LeaseSimulation simulation = fiveDispatchers();
        Dispatcher old = simulation.dispatcher(1);
        DiskCopy copy = DiskCopy.takeBeforeRestart(simulation, old);
        copy.restore(old);
        simulation.run(3);
        assertEquals("OLD", old.lastAcceptorState());
    }

    @Test
    void aReplyToAFormerProcessWithTheSameAttemptNumberIsIgnored() {
        AcceptorSet three = new AcceptorSet(1, List.of(new AcceptorSet.Member("d1", 1),
                new AcceptorSet.Member("d2", 2), new AcceptorSet.Member("d3", 3)), List.of());
        ChangeFunction acquire = new ChangeFunction.Acquire(LeaseRecord.INITIAL, "d4", 2, 1, 1000);
        Proposer proposer = new Proposer("l", acquire, 2, 0);
        List<Message> sent = new ArrayList<>();
        proposer.attempt(three, 3, new Moment(1000), (to, message) -> sent.add(message));
        for (Ballot ballot : List.of(new Ballot(1, 1), new Ballot(1, 2))) {
            Message.Promise promise =
                    new Message.Promise(3, 1, "l", ballot, Ballot.NONE, LeaseRecord.INITIAL);
            for (String acceptor : List.of("d1", "d2")) {
                proposer.onReply(new Moment(1), acceptor, promise, (to, message) -> sent.add(message));
            }
            assertEquals(ballot.processId() == 2,
                    sent.stream().anyMatch(message -> message instanceof Message.Accept));
        }
    }

    @Test
    void aDispatcherWithoutADirectoryDoesNotWitnessAnOldCopy() {
        LeaseSimulation simulation = fiveDispatchers();
        Dispatcher old = simulation.dispatcher(1);
        DiskCopy copy = DiskCopy.takeBeforeRestart(simulation, old);
        simulation.dispatcher(3).kill();
        simulation.dispatcher(2).manager.stopAcceptor(simulation.dispatcher(2).clock());
        copy.restore(old);
        simulation.run(5);
        assertEquals("ASKING", old.lastAcceptorState());
    }

    @Test
    void threeAcceptorsAreReplacedByFiveWhileOneCrashes() {
        LeaseSimulation simulation = fiveDispatchers();
        for (int number : new int[]{4, 5}) {
            Dispatcher joining = simulation.dispatcher(number);
            joining.kill();
            joining.disk = new TreeMap<>();
            joining.start();
        }
        simulation.run(2);
        Dispatcher any = simulation.dispatcher(5);
        assertEquals(ReconfigurationStart.BEGUN,
                any.manager.reconfigure(any.clock(), List.of("d1", "d2", "d3", "d4", "d5")));
        simulation.run(0.02);
        simulation.dispatcher(1).kill();
        assertTrue(simulation.runUntil(20, () -> any.hasReported(EventType.ACCEPTOR_SET, THIRD_EPOCH)) >= 0,
                any.events.toString());
        simulation.dispatcher(2).kill();
        simulation.run(5);
        assertNotNull(simulation.actor(LEASE), "three of five are a majority");
        simulation.dispatcher(3).kill();
        simulation.run(5);
        assertNull(simulation.actor(LEASE), "two of five are no majority");
    }

    @Test
    void aLeaseIsHandedOverToTheNamedDispatcherAndIsFreeWhileItIsBlocked() {
        LeaseSimulation simulation = fiveDispatchers();
        Dispatcher first = holder(simulation);
        Dispatcher other = simulation.dispatchers.values().stream().filter(each -> each != first).findFirst()
                .orElseThrow();
        Dispatcher fifth = simulation.dispatcher(5);
        assertTrue(fifth.manager.handOver(fifth.clock(), LEASE, other.name));
        assertTrue(simulation.runUntil(2, () -> other.mayAct(LEASE)) >= 0);
        Dispatcher fourth = simulation.dispatcher(4);
        assertTrue(fourth.manager.block(fourth.clock(), LEASE, Span.ofMillis(20_000)));
        assertTrue(simulation.runUntil(2, () -> simulation.actor(LEASE) == null) >= 0);
        simulation.run(19);
        assertNull(simulation.actor(LEASE));
        assertActsWithin(10, simulation);
    }

    @Test
    void theNextHolderReadsTheNoteOfACrashedHolder() {
        LeaseSimulation simulation = fiveDispatchers();
        Dispatcher first = holder(simulation);
        first.manager.writeNote(first.clock(), LEASE, "17 of 40");
        simulation.run(0.2);
        first.kill();
        assertActsWithin(3, simulation);
        assertEquals("17 of 40", holder(simulation).manager.note(LEASE));
    }

    @Test
    void manyLeasesAreBalancedAndDoNotMoveWhenADispatcherReturns() {
        LeaseSimulation simulation = new LeaseSimulation(3, 10, 3, 100).startAll();
        assertTrue(simulation.runUntil(30,
                () -> simulation.leases.stream().allMatch(lease -> simulation.actor(lease) != null)) >= 0);
        for (Dispatcher dispatcher : simulation.dispatchers.values()) {
            long held = simulation.leases.stream().filter(dispatcher::mayAct).count();
            assertTrue(held >= 2 && held <= 25, dispatcher.name + " holds " + held);
        }
        simulation.dispatcher(7).kill();
        simulation.run(5);
        assertTrue(simulation.leases.stream().allMatch(lease -> simulation.actor(lease) != null));
        long before = simulation.takeovers;
        simulation.dispatcher(7).start();
        simulation.run(30);
        assertEquals(before, simulation.takeovers, "no lease moves when a dispatcher returns");
    }

    @Test
    void simultaneousContendersNeverBothActInAThousandRounds() {
        LeaseSimulation simulation = new LeaseSimulation(5, 5, 3, 1).startAll();
        for (int round = 0; round < 1000; round++) {
            if (simulation.actor(LEASE) != null) {
                Dispatcher holder = holder(simulation);
                holder.manager.shutDown(holder.clock());
                simulation.run(0.05);
                holder.kill();
                holder.start();
            }
            simulation.run(0.25);
        }
        assertTrue(simulation.takeovers > 700, simulation.takeovers + " takeovers");
    }

    @Test
    void aSyncOfAFifthOfATermMovesNoLease() {
        for (long seed = 0; seed < 20; seed++) {
            LeaseSimulation simulation = new LeaseSimulation(seed, 5, 3, 1).startAll();
            assertActsWithin(5, simulation);
            String first = simulation.actor(LEASE);
            simulation.syncMillis = 130; // 65 to 195 ms of a term of 1 s, possibly after another sync
            simulation.run(60);
            assertEquals(first, simulation.actor(LEASE), "seed " + seed);
            assertEquals(1, simulation.highestToken(LEASE));
        }
    }

    @Test
    void aHistoryThatIsNotLinearizableIsDetected() {
        LeaseSimulation simulation = fiveDispatchers();
        simulation.run(5);
        assertTrue(simulation.checkHistories() > 5);
        List<Dispatcher> acceptors =
                List.of(simulation.dispatcher(1), simulation.dispatcher(2), simulation.dispatcher(3));
        acceptors.forEach(Dispatcher::kill);
        // Lose the promises and accepted values of a majority.
        acceptors.forEach(acceptor -> acceptor.disk.keySet().removeIf(LeaseManagerTest::isRegister));
        acceptors.forEach(Dispatcher::start);
        assertThrows(AssertionError.class, () -> {
            simulation.run(5);
            simulation.checkHistories();
        });
    }

    private static boolean isRegister(String key) {
        return key.startsWith("r ");
    }

    @Test
    void malformedMessagesAndUnknownRegistersDoNotPreventALease() {
        LeaseSimulation simulation = fiveDispatchers();
        SplittableRandom random = new SplittableRandom(7);
        byte[] valid = Codec.encode(new Message.Accept(1, 1, LEASE, new Ballot(9, 9),
                new LeaseRecord(3, 3, "d9", 9, 9, 9, "", 0, "note")));
        Dispatcher acceptor = simulation.dispatcher(1);
        for (int i = 0; i < 50_000; i++) {
            byte[] bytes = i % 2 == 0 ? new byte[random.nextInt(300)] : valid.clone();
            if (i % 2 == 0) {
                random.nextBytes(bytes);
            } else {
                bytes = Arrays.copyOf(bytes, random.nextInt(bytes.length));
            }
            acceptor.manager.onMessage(acceptor.clock(), "nobody", bytes);
        }
        for (int i = 0; i < 6000; i++) {
            byte[] unknownRegister = Codec.encode(new Message.Prepare(i, 1, "strange" + i, new Ballot(1, 1)));
            acceptor.manager.onMessage(acceptor.clock(), "nobody", unknownRegister);
        }
        simulation.run(5);
        assertNotNull(simulation.actor(LEASE));
        long registers = acceptor.disk.keySet().stream().filter(LeaseManagerTest::isRegister).count();
        assertTrue(registers <= MAX_REGISTERS, "the number of registers is limited");
    }

    /** Runs {@code leases.seeds} seeds, the first of which is {@code leases.from}. */
    @Test
    void noTwoDispatchersActAtOnceUnderRandomFaults() {
        long from = Long.getLong("leases.from", 0);
        long seeds = Long.getLong("leases.seeds", 60);
        AtomicLong takeovers = new AtomicLong();
        AtomicLong reconfigurations = new AtomicLong();
        LongStream.range(from, from + seeds).parallel().forEach(seed -> {
            LeaseSimulation simulation = runWithFaults(seed);
            takeovers.addAndGet(simulation.takeovers);
            assertTrue(simulation.checkHistories() > 2);
            reconfigurations.addAndGet(
                    simulation.dispatchers.values().stream().flatMap(dispatcher -> dispatcher.events.stream())
                            .filter(event -> event.type() == EventType.RECONFIGURED).count());
        });
        System.out.println(
                seeds + " seeds, " + takeovers + " takeovers, " + reconfigurations + " reconfigurations");
        assertTrue(takeovers.get() > 2 * seeds);
    }

    private static LeaseSimulation runWithFaults(long seed) {
        RandomFaultRun run = new RandomFaultRun(seed);
        try {
            LeaseSimulation simulation = run.run();
            boolean healed = simulation.runUntil(40,
                    () -> simulation.actor("l0") != null && simulation.actor("l1") != null) >= 0;
            Dispatcher first = simulation.dispatcher(1);
            assertTrue(healed, () -> "once all faults have ended a dispatcher acts under each lease: "
                    + first.manager.statusPage(first.clock()));
            return simulation;
        } catch (AssertionError e) {
            throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
        } finally {
            if (Boolean.getBoolean("leases.talk")) {
                System.out.println(seed + ": " + run);
            }
        }
    }
}
