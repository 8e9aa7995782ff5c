package rampshift.testbed.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * The directory of one run, and the names of the files in it. Dispatchers are numbered from 0 across all
 * sites, load processes from 0.
 */
record RunFolder(Path path) {
    private static final String EVENT_LOG_SUFFIX = ".ledger";
    private static final String DISPATCHER_NAME_PREFIX = "d";

    /** Returns the name of a dispatcher; the first one has the name d1. */
    static String dispatcherName(int dispatcher) {
        return DISPATCHER_NAME_PREFIX + (dispatcher + 1);
    }

    /** Returns the number of the dispatcher with the given name. */
    static int dispatcherNumber(String name) {
        return Integer.parseInt(name.substring(DISPATCHER_NAME_PREFIX.length())) - 1;
    }

    /** Returns the configuration file of a dispatcher. */
    Path configuration(int dispatcher) {
        return path.resolve(dispatcherName(dispatcher) + ".json");
    }

    /** Returns the operator file of a dispatcher, for membership, leases and periodic jobs. */
    Path operatorFile(int dispatcher) {
        return path.resolve(dispatcherName(dispatcher) + ".toml");
    }

    /** Returns the directory in which a dispatcher stores its state as an acceptor of leases. */
    Path acceptorDirectory(int dispatcher) {
        return path.resolve("keeper-" + dispatcherName(dispatcher));
    }

    /** Returns the log of the membership events of a dispatcher. */
    Path membershipEventLog(int dispatcher) {
        return eventLog("members-" + dispatcherName(dispatcher));
    }

    /** Returns the log of the lease events of a dispatcher. */
    Path leaseEventLog(int dispatcher) {
        return eventLog("leases-" + dispatcherName(dispatcher));
    }

    /** Returns the log of the events of emulated workers and discovery. */
    Path fleetEventLog() {
        return eventLog("fleet");
    }

    /** Returns the log of the actions of the run on dispatchers' processes. */
    Path runEventLog() {
        return eventLog("trial");
    }

    /** Returns the log of the events of the clients of a load process. */
    Path loadEventLog(int process) {
        return eventLog(loadName(process));
    }

    /** Returns the JSON file of the counts of a load process. */
    Path loadCounts(int process) {
        return path.resolve(loadName(process) + ".json");
    }

    /** Returns the HdrHistogram log of a load process. */
    Path loadHistograms(int process) {
        return path.resolve(loadName(process) + ".hlog");
    }

    /** Returns the file of the output of a load process. */
    Path loadOutput(int process) {
        return output(loadName(process));
    }

    /** Returns the file of the output of the process with the given name. */
    Path output(String process) {
        return path.resolve(process + ".log");
    }

    /** Returns a new file for the output of a process that may be started several times. */
    Path uniqueOutput(String process) {
        return output(process + "-" + System.nanoTime());
    }

    /** Returns the event logs that exist, in the order of their names. */
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
