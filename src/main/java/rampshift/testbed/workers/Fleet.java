package rampshift.testbed.workers;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.discovery.DiscoveryAgent;
import rampshift.testbed.discovery.EndpointRegistry;
import rampshift.testbed.discovery.WorkerEntry;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.wire.LoopbackNetwork;
import rampshift.time.Span;

/**
 * The emulated workers of a plan and the discovery agents that serve their endpoint lists, on one I/O thread.
 * Methods that change workers or discovery, or read state that faults change, must be called on that thread,
 * see {@link #thread}; all others may be called on any thread.
 */
public final class Fleet {
    private static final long CLOSE_TIMEOUT_SECONDS = 5;
    private static final long MICROS_PER_MILLI = 1000;

    private final FleetPlan plan;
    private final EventLog eventLog;
    private final XnioWorker ioWorker;
    private final XnioIoThread thread;
    private final Map<String, EmulatedWorker> workers = new LinkedHashMap<>();
    private StallMonitor stallMonitor;
    private EndpointRegistry registry;
    private Runnable onNextTask;

    /**
     * Starts all workers and agents.
     *
     * @param plan the plan of the fleet
     * @param seed the seed of the run
     * @param eventLog receives the events of workers and agents
     * @throws IOException if a port or a file descriptor cannot be opened
     */
    public Fleet(FleetPlan plan, long seed, EventLog eventLog) throws IOException {
        this.plan = plan;
        this.eventLog = eventLog;
        ioWorker = LoopbackNetwork.createIoWorker("fleet");
        thread = ioWorker.getIoThread(0);
        Callable<Void> opening = () -> {
            open(seed);
            return null;
        };
        FutureTask<Void> opened = new FutureTask<>(opening);
        thread.execute(opened);
        try {
            opened.get();
        } catch (ExecutionException e) {
            ioWorker.shutdownNow();
            if (e.getCause() instanceof IOException cause) {
                throw cause;
            }
            throw new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            throw new IOException("interrupted");
        }
    }

    private void open(long seed) throws IOException {
        stallMonitor = new StallMonitor(thread);
        FleetContext context = new FleetContext(plan, ioWorker, eventLog, stallMonitor,
                new FencingTokens(plan.leases().checksTokens()), new TaskReader(plan.types()),
                this::onTaskReceived);
        List<WorkerEntry> entries = new ArrayList<>();
        for (EmulatedWorker worker : new WorkerFactory(context, seed, dispatcherSites()).createAll()) {
            workers.put(worker.identity().uid(), worker);
            entries.add(createEntry(worker));
        }
        registry = new EndpointRegistry(plan.discovery(), ioWorker, eventLog, seed, plan.dispatcherCount(),
                entries);
        if (plan.discovery().liveWeights()) {
            registry.refreshWeights(uid -> find(uid).weight());
        }
    }

    private WorkerEntry createEntry(EmulatedWorker worker) {
        WorkerIdentity identity = worker.identity();
        List<Integer> ports = worker.links().stream().map(Link::port).toList();
        return new WorkerEntry(identity.uid(), siteName(identity.site()), identity.machine().name(),
                identity.cell(), WorkerEntry.State.READY, worker.weight(), 0, ports);
    }

    /** Returns the name in plans and reports of the dispatcher with an index from 0: {@code d1} for 0. */
    public static String dispatcherName(int dispatcher) {
        return "d" + (dispatcher + 1);
    }

    /** Sets an action that runs once, when a worker receives the next task. */
    public void runOnNextTask(Runnable action) {
        thread.execute(() -> onNextTask = action);
    }

    private void onTaskReceived() {
        if (onNextTask != null) {
            Runnable action = onNextTask;
            onNextTask = null;
            action.run();
        }
    }

    /** Returns the index of each dispatcher's site in the plan. */
    public List<Integer> dispatcherSites() {
        List<Integer> sites = new ArrayList<>();
        for (int site = 0; site < plan.sites().size(); site++) {
            for (int i = 0; i < plan.sites().get(site).dispatchers(); i++) {
                sites.add(site);
            }
        }
        return sites;
    }

    private String siteName(int site) {
        return plan.sites().get(site).name();
    }

    /** Returns the port on 127.0.0.1 of a dispatcher's discovery agent, by the dispatcher's index. */
    public int agentPort(int dispatcher) {
        return registry.agent(dispatcher).port();
    }

    /** Returns the endpoint list in JSON as a dispatcher would receive it now without faults. */
    public String list(int dispatcher) {
        return registry.agent(dispatcher).list();
    }

    /** Returns the I/O thread of all workers and agents. */
    public XnioIoThread thread() {
        return thread;
    }

    /** Returns the uids of a site's workers, or of all workers if the name is empty, in plan order. */
    public List<String> workerNames(String site) {
        return workers.values().stream().map(EmulatedWorker::identity)
                .filter(identity -> site.isEmpty() || siteName(identity.site()).equals(site))
                .map(WorkerIdentity::uid).toList();
    }

    /**
     * Starts or ends a fault of a worker.
     *
     * @param uid the worker
     * @param fault the fault
     * @param active whether it starts
     * @throws IllegalArgumentException if the fault is not a worker fault
     */
    public void setFault(String uid, FleetPlan.Fault fault, boolean active) {
        find(uid).setFault(fault, active);
    }

    /** Publishes that a worker is draining. The worker itself continues to run and accept tasks. */
    public void drain(String uid) {
        registry.publish(registry.entry(uid).withState(WorkerEntry.State.DRAINING));
    }

    /** Ends the process of a worker and publishes that it is gone. */
    public void terminate(String uid) {
        find(uid).crash();
        registry.publish(registry.entry(uid).withState(WorkerEntry.State.GONE));
    }

    /** Starts the process of a worker again, cold, and publishes that it is ready. */
    public void restart(String uid) {
        find(uid).restart();
        registry.publish(registry.entry(uid).restartedAt(EventClock.now().micros() / MICROS_PER_MILLI));
    }

    /** Returns whether the process of a worker has crashed or was terminated, and was not restarted. */
    public boolean isDown(String uid) {
        return find(uid).isDown();
    }

    /**
     * Cuts or restores all links between a site and the other sites. Links within the site, and those between
     * other sites, are not affected.
     */
    public void setCut(String site, boolean cut) {
        List<Integer> dispatcherSites = dispatcherSites();
        for (EmulatedWorker worker : workers.values()) {
            boolean workerIsInside = siteName(worker.identity().site()).equals(site);
            for (Link link : worker.links()) {
                int dispatcherSite = dispatcherSites.get(link.dispatcher());
                boolean dispatcherIsInside = siteName(dispatcherSite).equals(site);
                if (workerIsInside != dispatcherIsInside) {
                    link.setCut(cut);
                }
            }
        }
    }

    /**
     * Stops discovery agents from responding, or lets them respond again.
     *
     * @param dispatchers the names of their dispatchers; empty for all
     */
    public void setDiscoverySilent(List<String> dispatchers, boolean silent) {
        selectAgents(dispatchers).forEach(agent -> agent.setSilent(silent));
    }

    /**
     * Makes discovery agents respond with an earlier endpoint list.
     *
     * @param dispatchers the names of their dispatchers; empty for all
     * @param staleness the age of the list; zero for the latest one
     */
    public void setDiscoveryStaleness(List<String> dispatchers, Span staleness) {
        selectAgents(dispatchers).forEach(agent -> agent.setStaleness(staleness));
    }

    private List<DiscoveryAgent> selectAgents(List<String> dispatchers) {
        List<DiscoveryAgent> selected = new ArrayList<>();
        for (int dispatcher = 0; dispatcher < plan.dispatcherCount(); dispatcher++) {
            if (dispatchers.isEmpty() || dispatchers.contains(dispatcherName(dispatcher))) {
                selected.add(registry.agent(dispatcher));
            }
        }
        return selected;
    }

    private EmulatedWorker find(String uid) {
        EmulatedWorker worker = workers.get(uid);
        if (worker == null) {
            throw new NoSuchElementException("no worker " + uid);
        }
        return worker;
    }

    /** Stops all workers and agents. Must not be called on the I/O thread. */
    public void close() {
        FutureTask<Void> closing = new FutureTask<>(() -> {
            workers.values().forEach(EmulatedWorker::close);
            registry.close();
            stallMonitor.stop();
        }, null);
        thread.execute(closing);
        try {
            closing.get(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            // Cleanup is best effort: the I/O worker is shut down below in any case.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        ioWorker.shutdownNow();
    }
}
