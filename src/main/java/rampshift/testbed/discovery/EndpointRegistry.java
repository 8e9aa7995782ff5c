package rampshift.testbed.discovery;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.eventlog.EventLog;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.random.RandomStreams;

/**
 * The authoritative list of a fleet's workers, and the discovery agents that receive its changes. It is used
 * only on the I/O thread.
 */
public final class EndpointRegistry {
    /** The minimum change of a weight that is published, as a share of the new weight. */
    private static final double MIN_WEIGHT_CHANGE = 0.01;
    private static final long MIN_REFRESH_MS = 10;

    private final FleetPlan.Discovery settings;
    private final XnioIoThread thread;
    private final List<WorkerEntry> entries;
    private final List<DiscoveryAgent> agents = new ArrayList<>();

    /**
     * Opens an agent for each dispatcher.
     *
     * @param settings the ports and delays of the agents
     * @param worker the XNIO worker whose first I/O thread serves the agents
     * @param eventLog receives an event for each entry sent to a dispatcher
     * @param seed the seed of the run, from which delays are drawn
     * @param dispatcherCount the number of dispatchers
     * @param initial the initial list of workers
     * @throws IOException if a port cannot be opened
     */
    public EndpointRegistry(FleetPlan.Discovery settings, XnioWorker worker, EventLog eventLog, long seed,
            int dispatcherCount, List<WorkerEntry> initial) throws IOException {
        this.settings = settings;
        thread = worker.getIoThread(0);
        entries = new ArrayList<>(initial);
        for (int dispatcher = 0; dispatcher < dispatcherCount; dispatcher++) {
            int port = settings.port() == 0 ? 0 : settings.port() + dispatcher;
            agents.add(new DiscoveryAgent(dispatcher, worker, port, eventLog, settings.delay(),
                    RandomStreams.of(seed, "agent " + dispatcher), initial));
        }
    }

    /** Returns the agent of a dispatcher, given by its index. */
    public DiscoveryAgent agent(int dispatcher) {
        return agents.get(dispatcher);
    }

    /**
     * Returns the entry of a worker.
     *
     * @throws java.util.NoSuchElementException if there is no such worker
     */
    public WorkerEntry entry(String uid) {
        return entries.stream().filter(entry -> entry.uid().equals(uid)).findFirst().orElseThrow();
    }

    /** Replaces the entry of a worker and sends it to all agents. */
    public void publish(WorkerEntry changed) {
        entries.replaceAll(entry -> entry.uid().equals(changed.uid()) ? changed : entry);
        agents.forEach(agent -> agent.publish(List.of(changed)));
    }

    /**
     * Periodically publishes the weights of ready workers that have changed.
     *
     * @param weightOf returns the weight of a worker, given by its uid
     */
    public void refreshWeights(ToDoubleFunction<String> weightOf) {
        long intervalMs = Math.max(MIN_REFRESH_MS, Math.round(settings.refresh().millis()));
        thread.executeAfter(() -> {
            publishChangedWeights(weightOf);
            refreshWeights(weightOf);
        }, intervalMs, TimeUnit.MILLISECONDS);
    }

    private void publishChangedWeights(ToDoubleFunction<String> weightOf) {
        List<WorkerEntry> changed = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            WorkerEntry entry = entries.get(i);
            double weight = weightOf.applyAsDouble(entry.uid());
            boolean differs = Math.abs(weight - entry.weight()) > MIN_WEIGHT_CHANGE * weight;
            if (entry.state() == WorkerEntry.State.READY && differs) {
                entries.set(i, entry.withWeight(weight));
                changed.add(entries.get(i));
            }
        }
        if (!changed.isEmpty()) {
            agents.forEach(agent -> agent.publish(changed));
        }
    }

    /** Closes the agents. */
    public void close() {
        agents.forEach(DiscoveryAgent::close);
    }
}
