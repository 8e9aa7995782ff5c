package rampshift.testbed.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * The directory of one run, and the names of the files in it. Dispatchers are numbered from 0 through all
 * sites; processes of the load from 0.
 */
record RunFolder(Path path) {
    private static final String EVENT_LOG_SUFFIX = ".ledger";
    private static final String DISPATCHER_NAME_PREFIX = "d";

    /** The name of a dispatcher; the first one is called d1. */
    static String dispatcherName(int dispatcher) {
        return DISPATCHER_NAME_PREFIX + (dispatcher + 1);
    }

    /** The number of the dispatcher with that name. */
    static int dispatcherNumber(String name) {
        return Integer.parseInt(name.substring(DISPATCHER_NAME_PREFIX.length())) - 1;
    }

    /** A dispatcher's configuration. */
    Path configuration(int dispatcher) {
        return path.resolve(dispatcherName(dispatcher) + ".json");
    }

    /** A dispatcher's operator file, for membership, leases and periodic jobs. */
    Path operatorFile(int dispatcher) {
        return path.resolve(dispatcherName(dispatcher) + ".toml");
    }

    /** The directory in which a dispatcher stores its state as an acceptor of leases. */
    Path acceptorDirectory(int dispatcher) {
        return path.resolve("keeper-" + dispatcherName(dispatcher));
    }

    /** What a dispatcher saw of the other members. */
    Path membershipEventLog(int dispatcher) {
        return eventLog("members-" + dispatcherName(dispatcher));
    }

    /** What a dispatcher did with leases. */
    Path leaseEventLog(int dispatcher) {
        return eventLog("leases-" + dispatcherName(dispatcher));
    }

    /** What emulated workers and discovery saw and did. */
    Path fleetEventLog() {
        return eventLog("fleet");
    }

    /** What the run did to the dispatchers' processes. */
    Path runEventLog() {
        return eventLog("trial");
    }

    /** What the clients of a load process saw. */
    Path loadEventLog(int process) {
        return eventLog(loadName(process));
    }

    /** The counts of a load process, as JSON. */
    Path loadCounts(int process) {
        return path.resolve(loadName(process) + ".json");
    }

    /** The histograms of a load process, as a HdrHistogram log. */
    Path loadHistograms(int process) {
        return path.resolve(loadName(process) + ".hlog");
    }

    /** The output of a load process. */
    Path loadOutput(int process) {
        return output(loadName(process));
    }

    /** The output of a process with that name. */
    Path output(String process) {
        return path.resolve(process + ".log");
    }

    /** The output of a process that may be started several times: each time another file. */
    Path uniqueOutput(String process) {
        return output(process + "-" + System.nanoTime());
    }

    /** All event logs that are there, by name. */
    List<Path> eventLogs() throws IOException {
        try (Stream<Path> files = Files.list(path)) {
            return files.filter(file -> file.toString().endsWith(EVENT_LOG_SUFFIX)).sorted().toList();
        }
    }

    /** Deletes all event logs, which take hundreds of megabytes for a large run. */
    void deleteEventLogs() throws IOException {
        for (Path eventLog : eventLogs()) {
            Files.delete(eventLog);
        }
    }

    private Path eventLog(String name) {
        return path.resolve(name + EVENT_LOG_SUFFIX);
    }

    private static String loadName(int process) {
        return "load-" + process;
    }
}
