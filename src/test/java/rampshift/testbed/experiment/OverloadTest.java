package rampshift.testbed.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rampshift.testbed.Commands;

/**
 * An overloaded dispatcher must reject only the tasks that exceed its capacity. This test guards against a
 * collapse in which a dispatcher that falls behind finishes no task at all
 * (docs/incidents/overload-collapse.md). Two costs remain: a rejected request is read and parsed completely,
 * for about a third of the cost of a task, and new connections are served 16 per poll. At four times the
 * capacity, rejections therefore take the time of tasks within the capacity. The dispatcher runs in
 * interpreted mode, since the clients on one machine can't send four times the capacity of a compiled one.
 */
class OverloadTest {
    private static final String INTERPRETED = "cpus = \"7\"\njava = [\"-Xint\"]";
    private static final double CAPACITY_PER_SECOND = 200;
    private static final double MIN_FINISHED_SHARE = 0.8;
    private static final String ARMS = """
            [[arm]]
            name = "four-times"
            set = { "arrivals.rate" = 800 }
            """;

    @TempDir
    private Path folder;

    @Test
    @Tag("known-red")
    void fourTimesWhatIsCarriedLeavesWhatFitsFinished() throws Exception {
        String plan = Files.readString(Path.of("fleets/overload.toml"));
        Path planFile = folder.resolve("plan.toml");
        Files.writeString(planFile,
                plan.substring(0, plan.indexOf("[[arm]]")).replace("cpus = \"7\"", INTERPRETED)
                        + ARMS);
        PrintStream out = new PrintStream(folder.resolve("out.txt").toFile(), StandardCharsets.UTF_8);
        int status = Commands.run(new String[]{"experiment", planFile.toString(), "--folder",
                folder.resolve("result").toString()}, out, out);
        String output = Files.readString(folder.resolve("out.txt"));
        assertEquals(0, status, "0 means that no rule was broken and no run was void\n" + output);
        JsonNode run = new ObjectMapper().readTree(folder.resolve("result/result.json").toFile()).at(
                "/runs/four-times/1");
        assertEquals(0, run.at("/types/look/no_answer").asDouble(), "clients without an answer");
        double finished = run.at("/figures").get("finished a second").asDouble();
        assertTrue(finished >= MIN_FINISHED_SHARE * CAPACITY_PER_SECOND, "finished a second: " + finished);
    }
}
