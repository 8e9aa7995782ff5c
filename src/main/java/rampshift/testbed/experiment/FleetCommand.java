package rampshift.testbed.experiment;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.faults.FaultInjector;
import rampshift.testbed.links.LinkProxy;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.random.RandomStreams;
import rampshift.testbed.wire.LoopbackNetwork;
import rampshift.testbed.workers.Fleet;

/** The command {@code fleet}, which emulates workers and discovery and writes dispatchers' configurations. */
final class FleetCommand {
    private static final String LINK_RANDOM_STREAM = "ways";

    private final FleetPlan plan;
    private final long seed;
    private final RunFolder folder;
    private final PrintStream out;

    /**
     * Creates the command.
     *
     * @param seed the seed of all random streams
     * @param folder where configurations and the event log are written
     */
    FleetCommand(FleetPlan plan, long seed, RunFolder folder, PrintStream out) {
        this.plan = plan;
        this.seed = seed;
        this.folder = folder;
        this.out = out;
    }

    /**
     * Runs the fleet.
     *
     * @param controlled whether a {@link FleetRun} controls the fleet by its standard input; the fleet then
     * runs until the end of this input, otherwise until it is interrupted
     * @throws IOException if a file cannot be written or a port is taken
     */
    void run(boolean controlled) throws IOException {
        List<InetSocketAddress> members =
                plan.members().enabled() ? LoopbackNetwork.findDedicatedAddresses(plan.dispatcherCount())
                        : List.of();
        try (EventLog eventLog = new EventLog(folder.fleetEventLog()); LinkProxy links = openLinks(members)) {
            Fleet fleet = new Fleet(plan, seed, eventLog);
            writeConfigurations(fleet, members, links);
            FaultInjector faults = new FaultInjector(plan, fleet, links, eventLog);
            if (controlled) {
                runControlled(faults);
                fleet.close();
            } else {
                runUntilInterrupted(fleet, faults, eventLog);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the links between dispatchers; null if membership is disabled. */
    private LinkProxy openLinks(List<InetSocketAddress> members) throws IOException {
        return members.isEmpty() ? null
                : new LinkProxy(members, RandomStreams.of(seed, LINK_RANDOM_STREAM));
    }

    private void writeConfigurations(Fleet fleet, List<InetSocketAddress> members, LinkProxy links)
            throws IOException {
        DispatcherConfigurations configurations = new DispatcherConfigurations(plan, seed, folder);
        OperatorFileWriter operatorFiles = new OperatorFileWriter(plan, folder, members, links);
        List<InetSocketAddress> listenAddresses = chooseListenAddresses();
        int dispatcher = 0;
        for (int site = 0; site < plan.sites().size(); site++) {
            for (int i = 0; i < plan.sites().get(site).dispatchers(); i++) {
                configurations.write(dispatcher, site, listenAddresses.get(dispatcher),
                        fleet.agentPort(dispatcher), fleet.list(dispatcher));
                if (links != null) {
                    operatorFiles.write(dispatcher, site);
                }
                dispatcher++;
            }
        }
    }

    private List<InetSocketAddress> chooseListenAddresses() throws IOException {
        int firstPort = plan.dispatchers().port();
        if (firstPort == 0) {
            return LoopbackNetwork.findFreeAddresses(plan.dispatcherCount());
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int dispatcher = 0; dispatcher < plan.dispatcherCount(); dispatcher++) {
            LoopbackNetwork.requireFreePort(firstPort + dispatcher);
            addresses.add(LoopbackNetwork.address(firstPort + dispatcher));
        }
        return addresses;
    }

    private void runControlled(FaultInjector faults) throws IOException {
        out.println(RunProtocol.READY);
        BufferedReader input = RunProtocol.openInput();
        for (String line = input.readLine(); line != null; line = input.readLine()) {
            RunProtocol.parseStart(line).ifPresent(start -> faults.start(seed, start));
        }
    }

    private void runUntilInterrupted(Fleet fleet, FaultInjector faults, EventLog eventLog)
            throws InterruptedException {
        printHelp();
        fleet.runOnNextTask(() -> faults.start(seed, EventClock.now()));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> close(eventLog)));
        Thread.currentThread().join();
    }

    private void printHelp() {
        out.println(plan.workerCount() + " workers and the roster are running. To start a dispatcher:");
        for (int dispatcher = 0; dispatcher < plan.dispatcherCount(); dispatcher++) {
            String operatorOption =
                    plan.members().enabled() ? " --operator " + folder.operatorFile(dispatcher) : "";
            out.println("  NODE_CONFIG=" + folder.configuration(dispatcher)
                    + " java -jar target/rampshift.jar serve" + operatorOption);
        }
        out.println("Troubles are timed from the first task. Press Ctrl-C to stop; the ledger is in "
                + folder.path()
                + ".");
    }

    private static void close(EventLog eventLog) {
        try {
            eventLog.close();
        } catch (IOException e) {
            // The process is ending, so the error cannot be reported.
        }
    }
}
