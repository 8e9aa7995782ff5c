package rampshift.testbed.experiment;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.clients.LoadGenerator;
import rampshift.testbed.faults.FaultInjector;
import rampshift.testbed.links.LinkProxy;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.random.RandomStreams;
import rampshift.testbed.wire.LoopbackNetwork;
import rampshift.testbed.workers.Fleet;
import rampshift.time.Moment;
import rampshift.time.Span;

/** The two processes of a run that are no dispatchers: workers with the roster, and clients. */
final class RunProcesses {
    private static final Span IDLE_UP = Span.ofMillis(20_000);

    private RunProcesses() {}

    /** Workers and roster until standard input ends, if it steers, or until it is stopped. */
    static void fleet(FleetPlan plan, long seed, Path folder, boolean steered, PrintStream out)
            throws IOException {
        List<InetSocketAddress> members =
                plan.members().enabled() ? LoopbackNetwork.findDedicatedAddresses(plan.dispatcherCount())
                        : List.of();
        try (EventLog ledger = new EventLog(folder.resolve("fleet.ledger"));
                LinkProxy ways =
                        members.isEmpty() ? null : new LinkProxy(members, RandomStreams.of(seed, "ways"))) {
            Fleet fleet = new Fleet(plan, seed, ledger);
            List<InetSocketAddress> listens = listens(plan);
            int d = 0;
            for (int s = 0; s < plan.sites().size(); s++) {
                for (int i = 0; i < plan.sites().get(s).dispatchers(); i++, d++) {
                    Configurations.write(folder, plan, seed, d, s, listens.get(d), fleet.agentPort(d),
                            fleet.list(d));
                    if (ways != null) {
                        Configurations.writeOperator(folder, plan, d, s, members, ways);
                    }
                }
            }
            FaultInjector timeline = new FaultInjector(plan, fleet, ways, ledger);
            if (steered) {
                out.println("ready");
                BufferedReader in = input();
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    if (line.startsWith("go ")) {
                        timeline.start(seed, new Moment(Long.parseLong(line.substring(3))));
                    }
                }
                fleet.close();
                return;
            }
            out.println(plan.workerCount() + " workers and the roster stand. For a dispatcher of your own:");
            for (int n = 0; n < plan.dispatcherCount(); n++) {
                out.println("  NODE_CONFIG=" + Configurations.file(folder, n)
                        + " java -jar target/rampshift.jar serve"
                        + (ways == null ? "" : " --operator " + Configurations.operatorFile(folder, n)));
            }
            out.println(
                    "Troubles count from the first task. Ctrl-C ends it; the ledger is in " + folder + ".");
            fleet.whenFirstTask(() -> timeline.start(seed, EventClock.now()));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                try {
                    ledger.close();
                } catch (IOException e) {
                    // Nobody is left to be told.
                }
            }));
            Thread.currentThread().join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static List<InetSocketAddress> listens(FleetPlan plan) throws IOException {
        if (plan.dispatchers().port() == 0) {
            return LoopbackNetwork.findFreeAddresses(plan.dispatcherCount());
        }
        List<InetSocketAddress> listens = new ArrayList<>();
        for (int d = 0; d < plan.dispatcherCount(); d++) {
            LoopbackNetwork.requireFreePort(plan.dispatchers().port() + d);
            listens.add(LoopbackNetwork.address(plan.dispatchers().port() + d));
        }
        return listens;
    }

    /** Clients for the length of the plan; its own end follows. Status 3: it fell behind its own plan. */
    static int load(FleetPlan plan, long seed, int process, List<InetSocketAddress> to, Path folder,
            boolean steered,
            PrintStream out) throws IOException {
        try (EventLog ledger = new EventLog(folder.resolve("load-" + process + ".ledger"))) {
            LoadGenerator load = new LoadGenerator(plan, seed, process, to, ledger);
            load.openIdle(IDLE_UP);
            Moment zero = EventClock.now();
            if (steered) {
                out.println("ready");
                BufferedReader in = input();
                String go = in.readLine();
                if (go == null || !go.startsWith("go ")) {
                    return 1;
                }
                zero = new Moment(Long.parseLong(go.substring(3)));
                endWithInput(in);
            }
            load.start(zero);
            Thread teller = new Thread(() -> tell(load, out));
            teller.setDaemon(true);
            teller.start();
            load.await();
            out.println(load.progress());
            load.write(folder);
            load.close();
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private static BufferedReader input() {
        return new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    }

    /** Whoever started this has gone: a load that nobody waits for must not go on. */
    private static void endWithInput(BufferedReader in) {
        Thread watch = new Thread(() -> {
            try {
                while (in.readLine() != null) {
                    // Whatever is said there is for nobody.
                }
            } catch (IOException e) {
                // The same.
            }
            Runtime.getRuntime().halt(1);
        }, "input");
        watch.setDaemon(true);
        watch.start();
    }

    private static void tell(LoadGenerator load, PrintStream out) {
        try {
            while (true) {
                Thread.sleep(500);
                out.println(load.progress());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
