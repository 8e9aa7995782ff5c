package rampshift.leases;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rampshift.leases.store.RecordLog;

/**
 * Guards against incompatible changes of the stored formats and of the messages: files and messages of
 * version 0f49a4a are read, and are written byte for byte alike. They are the directories of three acceptors,
 * a file of known records, and one message of each type.
 */
class StoredFormatTest {
    private static final String RESOURCES = "/rampshift/leases/0f49a4a/";
    private static final String RECORDS_FILE = "records";
    private static final LeaseRecord HELD =
            new LeaseRecord(7, 3, "d1", 101, 12, 1_000_000, "d2", 5_000_000, "7:0:20:on");
    private static final LeaseRecord FREE = new LeaseRecord(8, 3, "", 0, 13, 1_000_000, "*", 0, "ü");
    private static final Ballot LOW = new Ballot(4, 101);
    private static final Ballot HIGH = new Ballot(5, -102);
    private static final AcceptorSet JOINT = new AcceptorSet(3,
            List.of(new AcceptorSet.Member("d1", 0x1001), new AcceptorSet.Member("d2", -2)),
            List.of(new AcceptorSet.Member("d3", 0x1003)));
    private static final List<String> REGISTERS = List.of("l0", "l1");

    @TempDir
    private Path folder;

    private static byte[] resource(String name) throws IOException {
        try (InputStream stream = StoredFormatTest.class.getResourceAsStream(RESOURCES + name)) {
            assertNotNull(stream, name);
            return stream.readAllBytes();
        }
    }

    private Path directory(String resource) throws IOException {
        Path directory = Files.createDirectories(folder.resolve(resource));
        Files.write(directory.resolve(RECORDS_FILE), resource(resource + ".records"));
        return directory;
    }

    @Test
    void leasesContinueFromStoredAcceptorDirectories() throws IOException {
        LeaseSimulation simulation = new LeaseSimulation(1, 3, 3, 2);
        for (LeaseSimulation.Dispatcher dispatcher : simulation.dispatchers.values()) {
            try (RecordLog log = new RecordLog(directory(dispatcher.name))) {
                dispatcher.disk = new TreeMap<>(log.records());
                dispatcher.recordCount = log.recordCount();
            }
            assertEquals(51, dispatcher.recordCount);
        }
        simulation.startAll();
        for (String lease : simulation.leases) {
            assertTrue(simulation.runUntil(5, () -> simulation.actor(lease) != null) >= 0, lease);
            LeaseSimulation.Dispatcher holder = simulation.dispatchers.get(simulation.actor(lease));
            assertEquals(3, holder.manager.token(lease), "the token follows the stored one");
            assertEquals("7:0:20:on", holder.manager.note(lease));
        }
        simulation.dispatchers.values().forEach(each -> assertEquals("VOTING", each.lastAcceptorState()));
    }

    @Test
    void anAcceptorDirectoryContainsTheAcceptedValues() throws IOException {
        try (RecordLog log = new RecordLog(directory("d1"))) {
            Map<String, byte[]> records = log.records();
            assertEquals(List.of("keepers", "r l0", "r l1", "self", "w 1002", "w 1003"),
                    List.copyOf(records.keySet()));
            AcceptorState state = Codec.decodeState(records.get("r l0"));
            assertEquals(new AcceptorState(new Ballot(20, 202), new Ballot(19, 202),
                    new LeaseRecord(18, 2, "d2", 202, 39, 1_000_000, "", 0, "7:0:20:on")), state);
            assertArrayEquals(records.get("r l0"), Codec.encode(state));
            assertArrayEquals(records.get("self"), Codec.encode(0x1001, 2));
            String acceptors = new String(records.get("keepers"), StandardCharsets.US_ASCII);
            assertEquals(acceptors, AcceptorSet.parse(acceptors).encode());
        }
    }

    @Test
    void aRecordFileIsWrittenByteForByteAlike() throws IOException {
        try (RecordLog log = new RecordLog(folder)) {
            for (int i = 0; i < 5; i++) {
                log.add("key" + i % 2, new byte[]{(byte) i, 1, 2});
                log.sync();
            }
            log.add("schlüssel", new byte[0]);
            log.sync();
        }
        assertArrayEquals(resource("sample.records"), Files.readAllBytes(folder.resolve(RECORDS_FILE)));
    }

    /** One message of each type, in the order of their codes. */
    private static List<Message> messages() {
        return List.of(new Message.Prepare(41, 3, "l0", HIGH),
                new Message.Promise(41, 3, "l0", HIGH, LOW, HELD),
                new Message.Accept(42, 3, "l0", HIGH, HELD), new Message.Accepted(42, 3, "l0", HIGH),
                new Message.Reject(42, 3, "l0", HIGH, LOW), new Message.StaleEpoch(42, JOINT),
                new Message.AcceptorBehind(42, JOINT), new Message.NotVoting(42, 3, "l0"),
                new Message.Read(0, REGISTERS), new Message.ReadReply(0, REGISTERS, List.of(HELD, FREE)),
                new Message.Install(0, JOINT), new Message.Installed(0, JOINT),
                new Message.ListRegisters(0, 3, "l0"), new Message.RegisterList(0, REGISTERS),
                new Message.Hello(0, AcceptorSet.UNKNOWN, 0x1001, new DirectoryVersion(2, 345)),
                new Message.HelloReply(2, JOINT, 0x1003, new DirectoryVersion(2, 300)));
    }

    @Test
    void messagesAreReadAndWrittenByteForByteAlike() throws IOException {
        List<String> lines = new String(resource("messages.txt"), StandardCharsets.US_ASCII).lines().toList();
        List<Message> messages = messages();
        assertEquals(MessageType.values().length, messages.size());
        for (int code = 0; code < messages.size(); code++) {
            Message message = messages.get(code);
            assertEquals(lines.get(code), HexFormat.of().formatHex(Codec.encode(message)),
                    message.toString());
            assertEquals(message, Codec.decodeMessage(HexFormat.of().parseHex(lines.get(code))));
        }
        AcceptorState state = new AcceptorState(HIGH, LOW, HELD);
        assertEquals(lines.get(messages.size()), HexFormat.of().formatHex(Codec.encode(state)));
    }

    @Test
    void eventWordsMatchTheEventLog() {
        List<String> words = List.of(EventType.values()).stream().map(EventType::word).toList();
        assertEquals(List.of("holds", "gives", "lapsed", "taken", "seen", "keeper", "keepers", "changed",
                "unchanged", "given up"), words);
    }
}
