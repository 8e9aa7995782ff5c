package rampshift.testbed.experiment;

import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import rampshift.testbed.plan.FleetPlan;

/** Builds the command lines of the processes of a run: this program, or a dispatcher of any version. */
final class ProcessCommands {
    private static final String JAVA = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    private static final String MAIN_CLASS = "rampshift.Main";
    private static final String CLASS_ARCHIVE = "rampshift.jsa";
    private static final String FOLDER_PLACEHOLDER = "{folder}";

    // Shares of a dispatcher's memory and their bounds; the same as in deploy/serve.sh.
    private static final int MIN_HEAP_MB = 12;
    private static final int MAX_HEAP_MB = 512;
    private static final int MAX_INITIAL_HEAP_MB = 24;
    private static final int HEAP_NUMERATOR = 9;
    private static final int HEAP_DENOMINATOR = 20;
    private static final int MIN_DIRECT_MEMORY_MB = 4;
    private static final int DIRECT_MEMORY_DENOMINATOR = 8;

    private ProcessCommands() {}

    /**
     * Returns the command line of this program with other arguments.
     *
     * @param maxHeap the maximum heap size, in the format of the JVM option {@code -Xmx}
     */
    static List<String> ofThisProgram(String maxHeap, List<String> arguments) {
        List<String> command =
                new ArrayList<>(List.of(JAVA, "-XX:+UseSerialGC", "-XX:-UsePerfData", "-Xmx" + maxHeap,
                        "-cp", absoluteClassPath(System.getProperty("java.class.path")), MAIN_CLASS));
        command.addAll(arguments);
        return command;
    }

    private static String absoluteClassPath(String classPath) {
        List<String> entries = new ArrayList<>();
        for (String entry : classPath.split(File.pathSeparator)) {
            entries.add(Path.of(entry).toAbsolutePath().toString());
        }
        return String.join(File.pathSeparator, entries);
    }

    /**
     * Returns the command line of a dispatcher, with heap and buffers sized as by deploy/serve.sh.
     *
     * @param folder replaces {@code {folder}} in the plan's JVM options
     * @return a list to which the caller may add further arguments
     */
    static List<String> ofDispatcher(FleetPlan.Dispatchers settings, Path folder) {
        List<String> command = new ArrayList<>();
        if (!settings.cpus().isEmpty()) {
            command.addAll(List.of("taskset", "-c", settings.cpus()));
        }
        command.add(JAVA);
        command.addAll(jvmOptions(settings.memoryMb()));
        for (String option : settings.java()) {
            command.add(option.replace(FOLDER_PLACEHOLDER, folder.toString()));
        }
        Path program = programFile(settings);
        if (isJar(program)) {
            command.addAll(jarArguments(program));
        } else {
            command.addAll(List.of("-cp", absoluteClassPath(classPath(settings)), MAIN_CLASS, "serve"));
        }
        return command;
    }

    private static List<String> jvmOptions(int memoryMb) {
        int heapMb =
                Math.min(MAX_HEAP_MB, Math.max(MIN_HEAP_MB, memoryMb * HEAP_NUMERATOR / HEAP_DENOMINATOR));
        int directMemoryMb = Math.max(MIN_DIRECT_MEMORY_MB, memoryMb / DIRECT_MEMORY_DENOMINATOR);
        return List.of("-XX:+UseSerialGC", "-XX:-UsePerfData", "-XX:TieredStopAtLevel=1", "-Xshare:auto",
                "-XX:+ExitOnOutOfMemoryError",
                "-Xms" + Math.min(MAX_INITIAL_HEAP_MB, heapMb) + "m", "-Xmx" + heapMb + "m",
                "-XX:MaxDirectMemorySize=" + directMemoryMb + "m", "-XX:ReservedCodeCacheSize=24m",
                "-Xlog:cds=off", "-Xlog:cds+dynamic=off");
    }

    private static List<String> jarArguments(Path jar) {
        List<String> arguments = new ArrayList<>();
        Path archive = jar.resolveSibling(CLASS_ARCHIVE);
        if (Files.exists(archive)) {
            arguments.add("-XX:SharedArchiveFile=" + archive);
        }
        // The class archive is only valid for the relative path of the jar that was used when it was created.
        Path directory = projectDirectory(jar);
        Path name = directory == null ? jar : directory.relativize(jar);
        arguments.addAll(List.of("-jar", name.toString(), "serve"));
        return arguments;
    }

    /** Returns the working directory of a dispatcher; null for that of this process. */
    static Path dispatcherDirectory(FleetPlan.Dispatchers settings) {
        Path program = programFile(settings);
        return isJar(program) ? projectDirectory(program) : null;
    }

    private static String classPath(FleetPlan.Dispatchers settings) {
        return settings.jar().isEmpty() ? System.getProperty("java.class.path") : settings.jar();
    }

    /** Returns the first entry of the class path of a dispatcher. */
    private static Path programFile(FleetPlan.Dispatchers settings) {
        return Path.of(classPath(settings).split(File.pathSeparator)[0]).toAbsolutePath();
    }

    private static boolean isJar(Path program) {
        return program.toString().endsWith(".jar");
    }

    /** Returns the parent of the directory that contains the jar; null if there is none. */
    private static Path projectDirectory(Path jar) {
        return jar.getParent() == null ? null : jar.getParent().getParent();
    }
}
