package rampshift.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the replies of the simulator host to batches of events. */
class SimulatorHostTest {
    private static final String ATTACH =
            "{\"SimTimeMs\":1000,\"news\":[{\"t\":\"Attach\",\"Who\":\"dispatcher/0\","
                    + "\"Seed\":5,\"Setup\":{\"Odd\":[1,{\"x\":null}],"
                    + "\"Limits\":{\"MostAssignments\":3},\"TrafficTypes\":"
                    + "[{\"DueTimeMs\":100,\"ExpiryMs\":1000,\"Effect\":\"unsafe\",\"Earnings\":1}]}},"
                    + "{\"t\":\"Fleet\",\"Who\":\"dispatcher/0\",\"Serial\":1,\"How\":\"cached\",\"Entries\":"
                    + "[{\"Worker\":9,\"Site\":0,\"Availability\":\"IN\",\"Pod\":0,\"Nominal\":1,"
                    + "\"Machine\":0}]}]}\n";
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String lines) throws IOException {
        return SimulatorHost.run(new ByteArrayInputStream(lines.getBytes(StandardCharsets.UTF_8)), out,
                new PrintStream(err));
    }

    private static String batch(String event) {
        return "{\"SimTimeMs\":1010,\"news\":[" + event + "]}\n";
    }

    @Test
    void forwardsATaskAndAnswersAnEmptyBatchWithAnEmptyReply() throws IOException {
        int status = run(ATTACH + batch("") + batch("{\"t\":\"Arrival\",\"Who\":\"dispatcher/0\","
                + "\"Ref\":2337017823924676,\"Priority\":0,\"Width\":1,\"PatienceLeftMs\":1000.5,"
                + "\"New\":true}"));
        String[] replies = out.toString(StandardCharsets.UTF_8).split("\n");
        assertEquals(0, status);
        assertEquals("{\"cmds\":[]}", replies[1]);
        assertTrue(replies[2].startsWith("{\"cmds\":[{\"t\":\"Place\",\"Who\":\"dispatcher/0\","
                + "\"Ref\":2337017823924676,\"Worker\":9,\"TimeoutMs\":0.0}"), replies[2]);
        assertEquals(3, replies.length);
    }

    @ParameterizedTest
    @ValueSource(strings = {
            "no JSON", "[]", "{\"news\":[]}", "{\"SimTimeMs\":1}", "{\"SimTimeMs\":\"x\",\"news\":[]}",
            "{\"SimTimeMs\":1,\"news\":[{\"Who\":\"dispatcher/0\"}]}",
            "{\"SimTimeMs\":1,\"news\":[{\"t\":\"Nonsense\",\"Who\":\"dispatcher/0\"}]}",
            "{\"SimTimeMs\":1,\"news\":[{\"t\":\"Wakeup\",\"Who\":\"dispatcher/4\",\"Name\":1}]}",
            "{\"SimTimeMs\":1,\"news\":[{\"t\":\"Arrival\",\"Who\":\"dispatcher/0\",\"Ref\":\"a\"}]}",
            "{\"SimTimeMs\":1,\"news\":[{\"t\":\"Hangup\",\"Who\":\"dispatcher/0\"}]}",
            "{\"SimTimeMs\":1,\"news\":[{\"t\":\"Attach\",\"Who\":\"dispatcher/1\",\"Seed\":1,"
                    + "\"Setup\":{}}]}",
            "{\"SimTimeMs\":1,\"news\":[{\"t\":\"Fleet\",\"Who\":\"dispatcher/0\",\"How\":\"full\","
                    + "\"Entries\":[{\"Worker\":9}]}]}",
            "{\"SimTimeMs\":1,\"news\":[{\"t\":\"Fleet\",\"Who\":\"dispatcher/0\",\"How\":\"full\","
                    + "\"Entries\":[{\"Worker\":\"x\"}]}]}",
            "{\"SimTimeMs\":1,\"news\":[", "{\"SimTimeMs\":1,\"news\":[7]}",
    })
    void reportsInvalidInputOnOneLineAndStops(String line) throws IOException {
        assertEquals(1, run(ATTACH + line + "\n"));
        String output = err.toString(StandardCharsets.UTF_8);
        assertTrue(output.startsWith("rampshift drill: line 2: "), output);
        assertEquals(output.length() - 1, output.indexOf('\n'), "one line");
        assertEquals(1, out.toString(StandardCharsets.UTF_8).split("\n").length, "no partial reply");
    }

    /** Both instances have the same endpoint list and tasks that may run only in the instance's own zone. */
    @Test
    void instancesForwardToTheirOwnZonesOnly() throws IOException {
        StringBuilder lines = new StringBuilder();
        for (int zone = 0; zone < 2; zone++) {
            lines.append(ATTACH.replace("\"Earnings\":1", "\"Earnings\":1,\"RunsIn\":[" + zone + "]")
                    .replace("dispatcher/0", "dispatcher/" + zone)
                    .replace("\"Setup\":{", "\"Setup\":{\"Zones\":[\"a\",\"b\"],\"Zone\":" + zone + ",")
                    .replace("\"Machine\":0}",
                            "\"Machine\":0},{\"Worker\":7,\"Site\":1,\"Availability\":\"IN\",\"Pod\":1,"
                                    + "\"Nominal\":1,\"Machine\":0}"));
        }
        for (int i = 0; i < 20; i++) {
            lines.append(batch("{\"t\":\"Arrival\",\"Who\":\"dispatcher/" + i % 2 + "\",\"Ref\":" + (100 + i)
                    + ",\"PatienceLeftMs\":1000}"));
        }
        assertEquals(0, run(lines.toString()), err.toString(StandardCharsets.UTF_8));
        String output = out.toString(StandardCharsets.UTF_8);
        assertEquals(Set.of("0 9", "1 7"),
                Pattern.compile("dispatcher/(\\d)\",\"Ref\":\\d+,\"Worker\":(\\d+)").matcher(output).results()
                        .map(m -> m.group(1) + " " + m.group(2)).collect(Collectors.toSet()));
    }

    /** Includes a batch that exceeds every buffer and a last line without a terminator. */
    @Test
    void readsWholeLinesFromPartialReads() throws IOException {
        String batch = batch("{\"t\":\"Wakeup\",\"Who\":\"dispatcher/0\",\"Name\":0,\"Odd\":\""
                + "x".repeat(200_000) + "\"}");
        byte[] all = (ATTACH + batch + batch("").replace("\n", "\r\n") + batch("").trim())
                .getBytes(StandardCharsets.UTF_8);
        InputStream partialReads = new ByteArrayInputStream(all) {
            @Override
            public int read(byte[] to, int from, int count) {
                return super.read(to, from, Math.min(count, 777));
            }
        };
        assertEquals(0, SimulatorHost.run(partialReads, out, new PrintStream(err)),
                err.toString(StandardCharsets.UTF_8));
        assertEquals(4, out.toString(StandardCharsets.UTF_8).lines().count());
    }

    @Test
    void namesAMissingSetting() throws IOException {
        run("{\"SimTimeMs\":1,\"news\":[{\"t\":\"Attach\",\"Who\":\"dispatcher/1\",\"Seed\":1,"
                + "\"Setup\":{}}]}\n");
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("the settings lack Limits.MostAssignments"));
    }

    @Test
    void forgetsARetiredInstance() throws IOException {
        assertEquals(0, run(ATTACH + batch("{\"t\":\"Wakeup\",\"Who\":\"dispatcher/0\",\"Name\":0},"
                + "{\"t\":\"Retire\",\"Who\":\"dispatcher/0\"}")));
        assertEquals("{\"cmds\":[]}", out.toString(StandardCharsets.UTF_8).split("\n")[1]);
    }
}
