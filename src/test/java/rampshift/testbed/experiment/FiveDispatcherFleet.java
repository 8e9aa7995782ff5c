package rampshift.testbed.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import rampshift.testbed.plan.FleetPlanReader;

/** Five real dispatchers that know each other, on two sites of three workers, for stories of their faults. */
final class FiveDispatcherFleet {
    private static final String LOOK = """
            work = "%s"
            due = "500ms"
            expiry = "1500ms"
            """;

    private final Path folder;

    FiveDispatcherFleet(Path folder) {
        this.folder = folder;
    }

    /**
     * First: of the dispatchers, those on site one. More: sections of the fleet file, troubles among them.
     */
    RunOutcome play(int seconds, int first, int rate, String work, String more) throws Exception {
        String text = """
                length = "%ds"
                [[machine]]
                name = "m"
                [[site]]
                name = "one"
                dispatchers = %d
                share = %d
                [[site.workers]]
                machine = "m"
                count = 3
                [[site]]
                name = "two"
                dispatchers = %d
                share = %d
                [[site.workers]]
                machine = "m"
                count = 3
                [arrivals]
                rate = %d
                [experiment]
                settle = "500ms"
                [roster]
                delay = "50ms"
                [members]
                period = "100ms"
                known_by = "4s"
                agree_by = "3s"
                [[type]]
                name = "look"
                """.formatted(seconds, first, first, 5 - first, 5 - first, rate) + LOOK.formatted(work)
                + more;
        Path file = Files.writeString(folder.resolve("plan.toml"), text);
        return new FleetRun(new ChildProcesses(), FleetPlanReader.read(file), file, null, 1,
                folder.resolve("run"), l -> {})
                .play();
    }

    static String sale(String work) {
        return "[[type]]\nname = \"sale\"\neffect = \"side-effecting\"\n" + LOOK.formatted(work);
    }

    static String trouble(String what, String more, double at, double length) {
        return "[[trouble]]\nwhat = \"%s\"\n%s\nat = \"%.0fms\"\nlength = \"%.0fms\"\n".formatted(what, more,
                at * 1000, length * 1000);
    }

    static String names(String... names) {
        return "names = [\"" + String.join("\", \"", names) + "\"]";
    }

    /** Lines of all dispatchers' ledgers of that kind that say so. */
    List<String> told(String kind, String what) throws IOException {
        List<String> lines = new ArrayList<>();
        for (int d = 1; d <= 5; d++) {
            for (String line : Files.readAllLines(folder.resolve("run/" + kind + "-d" + d + ".ledger"))) {
                if (line.split(" ")[3].equals(what)) {
                    lines.add(line);
                }
            }
        }
        return lines;
    }
}
