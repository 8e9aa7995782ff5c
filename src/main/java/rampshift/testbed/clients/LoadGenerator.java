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
 * The clients of one load process. In an open loop, tasks are sent when they are due, whatever became of
 * those before, and latency counts from then, so that a stall of a dispatcher shows in the latency of every
 * task that was due in that time. By how much the load process itself sends late is measured too. All clients
 * run on one I/O thread, which {@link #close} ends.
 */
public final class LoadGenerator {
    private final int process;
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final LoadStatistics statistics;
    private final IdleClientConnections idleConnections;
    private final ClientTasks tasks;
    private final ReadinessProber prober;
    private final ArrivalPacer pacer;

    /**
     * Creates clients that send nothing yet.
     *
     * @param plan what all load processes send together, and how clients behave
     * @param seed the seed of the run
     * @param process the number of this load process, from 0
     * @param dispatchers where the dispatchers listen, by number
     * @param eventLog receives what becomes of each attempt; whoever opened it closes it
     * @throws IOException if the I/O thread cannot be created
     */
    public LoadGenerator(FleetPlan plan, long seed, int process, List<InetSocketAddress> dispatchers,
            EventLog eventLog) throws IOException {
        this.process = process;
        worker = LoopbackNetwork.createWorker("load");
        thread = worker.getIoThread(0);
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

    /** This process's part of all idle connections; a remainder goes to the first processes. */
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
     * ended. To be called before {@link #start}.
     *
     * @param timeout the longest wait after the last one has been started; what is unfinished then goes on
     */
    public void openIdle(Span timeout) {
        idleConnections.open(timeout);
    }

    /** Begins to send tasks at the given time. Returns at once. */
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

    /** The counts so far, in one line, for the process that started this one. */
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

    /** Ends the I/O thread; connections that are open are closed with it. */
    public void close() {
        worker.shutdownNow();
    }
}
