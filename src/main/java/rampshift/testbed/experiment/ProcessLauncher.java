package rampshift.testbed.experiment;

import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import rampshift.testbed.plan.FleetPlan;

/** How the processes of a run are started: this program again, or a dispatcher of another version. */
final class ProcessLauncher {
    private static final String JAVA = Path.of(System.getProperty("java.home"), "bin", "java").toString();

    private ProcessLauncher() {}

    /** This program with other arguments. */
    static List<String> self(String heap, List<String> arguments) {
        List<String> command =
                new ArrayList<>(List.of(JAVA, "-XX:+UseSerialGC", "-XX:-UsePerfData", "-Xmx" + heap,
                        "-cp", absolute(System.getProperty("java.class.path")), "rampshift.Main"));
        command.addAll(arguments);
        return command;
    }

    private static String absolute(String classPath) {
        List<String> parts = new ArrayList<>();
        for (String part : classPath.split(File.pathSeparator)) {
            parts.add(Path.of(part).toAbsolutePath().toString());
        }
        return String.join(File.pathSeparator, parts);
    }

    /** A dispatcher, with heap and buffers by its memory as deploy/serve.sh sizes them. */
    static List<String> dispatcher(FleetPlan.Dispatchers plan, Path folder) {
        int memory = plan.memoryMb();
        int heap = Math.min(512, Math.max(12, memory * 9 / 20));
        int direct = Math.max(4, memory / 8);
        List<String> command = new ArrayList<>();
        if (!plan.cpus().isEmpty()) {
            command.addAll(List.of("taskset", "-c", plan.cpus()));
        }
        command.addAll(List.of(JAVA, "-XX:+UseSerialGC", "-XX:-UsePerfData", "-XX:TieredStopAtLevel=1",
                "-Xshare:auto", "-Xms" + Math.min(24, heap) + "m", "-Xmx" + heap + "m",
                "-XX:MaxDirectMemorySize=" + direct + "m", "-XX:ReservedCodeCacheSize=24m", "-Xlog:cds=off",
                "-Xlog:cds+dynamic=off"));
        for (String one : plan.java()) {
            command.add(one.replace("{folder}", folder.toString()));
        }
        String jar = plan.jar().isEmpty() ? System.getProperty("java.class.path") : plan.jar();
        Path path = Path.of(jar.split(File.pathSeparator)[0]).toAbsolutePath();
        if (path.toString().endsWith(".jar")) {
            Path archive = path.resolveSibling("rampshift.jsa");
            if (Files.exists(archive)) {
                command.add("-XX:SharedArchiveFile=" + archive);
            }
            // Its archive of classes holds for the jar by the name that it was made with.
            command.addAll(List.of("-jar", home(path) == null ? path.toString()
                    : home(path).relativize(path).toString(), "serve"));
        } else {
            command.addAll(List.of("-cp", absolute(jar), "rampshift.Main", "serve"));
        }
        return command;
    }

    /** The folder that a dispatcher of that jar is started in; null for this one. */
    static Path homeOf(FleetPlan.Dispatchers plan) {
        String jar = plan.jar().isEmpty() ? System.getProperty("java.class.path") : plan.jar();
        Path path = Path.of(jar.split(File.pathSeparator)[0]).toAbsolutePath();
        return path.toString().endsWith(".jar") ? home(path) : null;
    }

    private static Path home(Path jar) {
        return jar.getParent() == null ? null : jar.getParent().getParent();
    }
}
