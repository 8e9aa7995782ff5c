package rampshift.testbed.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.plan.FleetPlanReader;

/** Five real dispatchers with membership, on two sites with three workers each, for tests of faults. */
final class FiveDispatcherFleet {
    private static final int DISPATCHERS = 5;
    private static final String TASK_LIMITS = """
            work = "%s"
            due = "500ms"
            expiry = "1500ms"
            """;
    private static final String FLEET = """
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
            """;

    private final Path folder;
    private final RunFolder runFolder;

    /** Creates a fleet whose files are written to a folder. */
    FiveDispatcherFleet(Path folder) {
        this.folder = folder;
        runFolder = new RunFolder(folder.resolve("run"));
    }

    /** Returns the folder of the run. */
    RunFolder runFolder() {
        return runFolder;
    }

    /**
     * Carries out a run.
     *
     * @param seconds the length of the load
     * @param siteOne the number of dispatchers on the first site; the others are on the second one
     * @param rate the arrival rate, in tasks per second
     * @param work the mean run time of a task, in the format of fleet files
     * @param sections further sections of the fleet file, including faults
     */
    RunOutcome run(int seconds, int siteOne, int rate, String work, String sections) throws Exception {
        int siteTwo = DISPATCHERS - siteOne;
        String text = FLEET.formatted(seconds, siteOne, siteOne, siteTwo, siteTwo, rate)
                + TASK_LIMITS.formatted(work) + sections;
        Path planFile = Files.writeString(folder.resolve("plan.toml"), text);
        FleetPlan plan = FleetPlanReader.read(planFile);
        RunSpec spec = new RunSpec(plan, planFile, null, 1, runFolder);
        return new FleetRun(new ChildProcesses(), spec).execute();
    }

    /** Returns the section of a traffic type whose tasks must not run twice. */
    static String sale(String work) {
        return "[[type]]\nname = \"sale\"\neffect = \"side-effecting\"\n" + TASK_LIMITS.formatted(work);
    }

    /**
     * Returns the section of a fault.
     *
     * @param kind the kind of fault, as named in fleet files
     * @param parameters further lines of the section, without the last line terminator
     * @param startSeconds the start of the fault, relative to the start of the load
     * @param lengthSeconds the length of the fault
     */
    static String fault(String kind, String parameters, double startSeconds, double lengthSeconds) {
        return "[[trouble]]\nwhat = \"%s\"\n%s\nat = \"%.0fms\"\nlength = \"%.0fms\"\n".formatted(kind,
                parameters, startSeconds * 1000, lengthSeconds * 1000);
    }

    /** Returns the line of a fault's section that names the targets of the fault. */
    static String names(String... names) {
        return "names = [\"" + String.join("\", \"", names) + "\"]";
    }

    /** Returns the events of a kind in the membership logs of all dispatchers. */
    List<EventLine> membershipEvents(String event) throws IOException {
        List<EventLine> events = new ArrayList<>();
        for (int dispatcher = 0; dispatcher < DISPATCHERS; dispatcher++) {
            events.addAll(events(runFolder.membershipEventLog(dispatcher), event));
        }
        return events;
    }

    /** Returns the events of a kind in the lease logs of all dispatchers. */
    List<EventLine> leaseEvents(String event) throws IOException {
        List<EventLine> events = new ArrayList<>();
        for (int dispatcher = 0; dispatcher < DISPATCHERS; dispatcher++) {
            events.addAll(events(runFolder.leaseEventLog(dispatcher), event));
        }
        return events;
    }

    private static List<EventLine> events(Path eventLog, String event) throws IOException {
        return Files.readAllLines(eventLog).stream().map(EventLine::new)
                .filter(line -> line.event().equals(event)).toList();
    }
}
