package rampshift.testbed.clients;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.eventlog.EventLog;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.random.RandomStreams;
import rampshift.testbed.wire.LoopbackNetwork;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * The clients of one load process. In an open loop, tasks are sent when they are due, independent of earlier
 * tasks, and latency is measured from then, so that a stall of a dispatcher adds to the latency of every task
 * that was due during the stall. The delay of sends by the load process itself is measured too. All clients
 * run on one I/O thread, which {@link #close} ends.
 */
public final class LoadGenerator {
    private final int process;
    private final XnioWorker ioWorker;
    private final XnioIoThread thread;
    private final LoadStatistics statistics;
    private final IdleClientConnections idleConnections;
    private final ClientTasks tasks;
    private final ReadinessProber prober;
    private final ArrivalPacer pacer;

    /**
     * Creates clients that send nothing yet.
     *
     * @param plan the load of all load processes together, and the behavior of clients
     * @param seed the seed of the run
     * @param process the number of this load process, from 0
     * @param dispatchers where the dispatchers listen, by number
     * @param eventLog receives the events of attempts; not closed by the load generator
     * @throws IOException if the I/O thread cannot be created
     */
    public LoadGenerator(FleetPlan plan, long seed, int process, List<InetSocketAddress> dispatchers,
            EventLog eventLog) throws IOException {
        this.process = process;
        ioWorker = LoopbackNetwork.createIoWorker("load");
        thread = ioWorker.getIoThread(0);
        statistics = new LoadStatistics(plan);

        UniformRandomProvider random = RandomStreams.of(seed, "clients " + process);
        UniformRandomProvider frontRandom = RandomStreams.of(seed, "front " + process);
        FrontProxy frontProxy = new FrontProxy(plan, dispatchers, frontRandom);
        ClientEventLog clientEventLog = new ClientEventLog(eventLog, process);
        ClientDialer dialer = new ClientDialer(thread);
        DispatcherConnector connector = new DispatcherConnector(thread, dialer, clientEventLog, statistics);
        AttemptContext context = new AttemptContext(plan, thread, frontProxy, connector, clientEventLog,
                new TaskFactory(plan, random));

        idleConnections = new IdleClientConnections(idleCount(plan, process), context, statistics);
        tasks = new ClientTasks(context, statistics, random, this::onTaskEnded);
        prober = new ReadinessProber(thread, dialer, frontProxy, () -> !tasks.isFinished());
        pacer = new ArrivalPacer(plan, new Arrivals(plan, seed, process), thread, tasks);
    }

    /** Returns this process's share of the idle connections; the first processes share the remainder. */
    private static int idleCount(FleetPlan plan, int process) {
        int total = plan.clients().idle();
        int processes = plan.clients().processes();
        int extra = process < total % processes ? 1 : 0;
        return total / processes + extra;
    }

    private void onTaskEnded() {
        pacer.onTaskEnded();
    }

    /**
     * Opens the connections that each send one task and then stay idle, and waits until these tasks have
     * ended. Must be called before {@link #start}.
     *
     * @param timeout the longest wait after the last task was started; unfinished tasks then continue
     */
    public void openIdle(Span timeout) {
        idleConnections.open(timeout);
    }

    /** Starts to send tasks at the given time. Does not block. */
    public void start(Moment when) {
        thread.execute(() -> {
            tasks.start(when);
            prober.probe();
        });
        pacer.start(when);
    }

    /** Blocks until all tasks have been sent, and all have ended. */
    public void await() throws InterruptedException {
        tasks.await();
    }

    /** Returns the counts so far in one line, which the parent process parses. */
    public String progress() {
        return statistics.progress().toLine();
    }

    /**
     * Writes the statistics as {@code load-<process>.json} and the histograms as {@code load-<process>.hlog}.
     *
     * @param folder where to write the two files
     * @throws IOException if a file cannot be written
     */
    public void write(Path folder) throws IOException {
        LoadStatisticsWriter writer = new LoadStatisticsWriter(statistics);
        writer.writeCounts(folder.resolve("load-" + process + ".json"));
        writer.writeHistograms(folder.resolve("load-" + process + ".hlog"));
    }

    /** Ends the I/O thread, which closes the open connections. */
    public void close() {
        ioWorker.shutdownNow();
    }
}
