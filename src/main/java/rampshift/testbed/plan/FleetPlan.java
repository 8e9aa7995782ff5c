package rampshift.testbed.plan;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import rampshift.time.Span;
import rampshift.toml.Range;

/**
 * The contents of a fleet file: the processes to start, the load, and the faults to inject. Shares are
 * between 0 and 1 unless stated otherwise; rates are per second.
 *
 * @param length how long the load lasts
 * @param seed the seed of all random choices
 * @param sites the sites of workers and dispatchers; at least one
 * @param machines the kinds of machines that workers run on; at least one
 * @param types the traffic types; at least one
 * @param arrivals how often tasks arrive
 * @param clients how clients send tasks
 * @param workers how workers behave
 * @param slowStart how workers behave shortly after their start
 * @param reports which load reports workers send
 * @param discovery how discovery agents publish the endpoint list
 * @param network the delay between sites
 * @param dispatchers how dispatchers are started and configured
 * @param members whether dispatchers know one another
 * @param leases the leases and periodic jobs of dispatchers that know one another
 * @param faults the faults to inject
 * @param trials how often an experiment runs each arm
 * @param ladder the limits of the search for the highest sustainable rate
 * @param arms the variants of this file that an experiment compares
 */
public record FleetPlan(Span length, long seed, List<Site> sites, List<Machine> machines,
        List<TrafficType> types,
        Arrivals arrivals, Clients clients, Workers workers, SlowStart slowStart, Reports reports,
        Discovery discovery,
        Network network, Dispatchers dispatchers, Members members, Leases leases, List<Fault> faults,
        Trials trials, Ladder ladder, List<Arm> arms) {

    /**
     * A site.
     *
     * @param name its name
     * @param share its share of the arrivals, relative to the shares of the other sites
     * @param dispatchers the number of dispatchers at the site
     * @param workers the workers at the site
     */
    public record Site(String name, double share, int dispatchers, List<WorkerGroup> workers) {}

    /**
     * Workers of one kind.
     *
     * @param machine the name of their machine
     * @param count how many there are
     */
    public record WorkerGroup(String machine, int count) {}

    /**
     * A kind of machine.
     *
     * @param name its name
     * @param slots how many slots its tasks may use together
     * @param speed the work that a slot completes per second, in seconds on a machine of speed 1
     * @param waiting how many tasks may wait; further ones are rejected
     * @param memory how much memory its tasks may use together, in the unit of {@link TrafficType#memory()}
     */
    public record Machine(String name, int slots, double speed, int waiting, double memory) {}

    /**
     * A traffic type. A task that is completed by its due time earns the full amount, one that is completed
     * later a share of it.
     *
     * @param name its name
     * @param share its share of the arrivals, relative to the shares of the other types
     * @param effect the effect of a second run of a task
     * @param group which workers recognize a repeated task together
     * @param window how long a repeated task is recognized
     * @param work the mean work of a task, as its run time on a machine of speed 1
     * @param spread how the work of the tasks is distributed around the mean
     * @param due the time until the due time of a task, without the part that depends on its work
     * @param stretch the part of the time until the due time that depends on the task, as a multiple of its
     *        work
     * @param expiry the time after which a task is of no use; longer than {@code due}
     * @param earnings the earnings of a task that is completed by its due time
     * @param lateEarnings the share of the earnings for a task that is completed later
     * @param slots the number of slots that a task uses
     * @param memory how much memory a task uses
     * @param body the size of a task's body, in bytes
     */
    public record TrafficType(String name, double share, Effect effect, Group group, Span window, Span work,
            Spread spread, Span due, double stretch, Span expiry, double earnings, double lateEarnings,
            double slots, double memory, int body) {
        /**
         * The effect of a second run of a task: none, none if workers recognize its idempotency key, or the
         * same effect again.
         */
        public enum Effect { IDEMPOTENT, FINGERPRINTED, SIDE_EFFECTING }

        /** The workers that recognize a repeated task together: all, those of a site, or those of a cell. */
        public enum Group {
            ALL, SITE, CELL
        }

        /**
         * The distribution of the work of tasks: constant, exponential, or uniform between 0.5 and 1.5 times
         * the mean.
         */
        public enum Spread { FIXED, EXPONENTIAL, NARROW }
    }

    /**
     * The arrivals of tasks.
     *
     * @param rate tasks per second over all sites
     * @param even whether the gaps between arrivals are all the same; else arrivals are a Poisson process
     * @param objects the number of different objects that tasks refer to; 0 for none
     * @param bursts the periods with another rate
     */
    public record Arrivals(double rate, boolean even, int objects, List<Burst> bursts) {}

    /**
     * A period in which the rate of arrivals differs.
     *
     * @param at when it begins, since the start of the load
     * @param length how long it lasts
     * @param times the factor by which the rate is multiplied
     * @param site the site that it is limited to; empty for all
     */
    public record Burst(Span at, Span length, double times, String site) {}

    /**
     * How clients send tasks.
     *
     * @param processes the number of load generator processes
     * @param retries how many times a client retries a task that was rejected or failed
     * @param pause how long a client waits before a retry
     * @param honorsRetryAfter whether a client waits at least for the time in {@code Retry-After}
     * @param patience the share of a task's expiry that a client waits for its response
     * @param failoverDelay how long the front proxy continues to send to a dispatcher that failed
     * @param maxSendDelay the maximum delay with which the load generator may send; if more than one attempt
     *        in a hundred is later, the run is void
     * @param idle the number of connections that send one task and then stay idle
     * @param concurrency if above 0, the number of tasks in flight in a closed loop, which ignores the rate
     *        of arrivals
     * @param keep whether clients reuse connections
     * @param warmUp the time at the start of the load whose tasks are not included in any figure
     */
    public record Clients(int processes, int retries, Range pause, boolean honorsRetryAfter, double patience,
            Range failoverDelay, Span maxSendDelay, int idle, int concurrency, boolean keep, Span warmUp) {}

    /**
     * How workers behave.
     *
     * @param tellsStart whether a worker reports when a task starts to run
     * @param progress the interval at which a worker reports that a task is still running
     * @param stopsCancelledTasks whether a task stops when its attempt is cancelled
     * @param inOrder whether waiting tasks start in the order of arrival
     * @param idle the time without a task after which a connection is closed
     * @param cell the number of workers in a cell
     * @param connectionCost the delay of the first task on a new connection
     */
    public record Workers(boolean tellsStart, Span progress, boolean stopsCancelledTasks, boolean inOrder,
            Span idle,
            int cell, Span connectionCost) {}

    /**
     * How workers behave shortly after their start.
     *
     * @param from the share of its speed that a worker has at its start
     * @param warm how long it takes until the worker has its full speed
     * @param overloadFactor how many times its capacity a cold worker has to be sent to fail from overload
     * @param overloadWindow the time window over which that is measured
     */
    public record SlowStart(double from, Span warm, double overloadFactor, Span overloadWindow) {}

    /**
     * Load reports of workers.
     *
     * @param how how reports are sent
     * @param figures the figures in a report
     * @param refresh the minimum time between two measurements of the figures
     */
    public record Reports(How how, List<Figure> figures, Span refresh) {
        /** How a load report is sent: not at all, in a header of each response, or in a probe response. */
        public enum How {
            NONE, INLINE, PROBE
        }

        /** A figure in a load report: free slots, waiting tasks, all held tasks, or free memory. */
        public enum Figure {
            FREE_SLOTS, WAITING, HELD, FREE_MEMORY
        }
    }

    /**
     * How discovery agents publish the endpoint list.
     *
     * @param port the port of the first dispatcher's agent, the others use the following ports; 0 for any
     * @param delay the delay of each change
     * @param liveWeights whether the weights of workers follow their load
     * @param refresh the interval at which live weights are published
     * @param grace how long after the notification of a drain attempts may still begin
     */
    public record Discovery(int port, Range delay, boolean liveWeights, Span refresh, Span grace) {}

    /**
     * The network.
     *
     * @param siteDelay the delay between two sites, in one direction
     */
    public record Network(Range siteDelay) {}

    /**
     * How dispatchers are started and configured.
     *
     * @param port the port of the first one, the others use the following ports; 0 for any
     * @param memoryMb the memory limit of each, in MiB
     * @param sockets the maximum number of sockets of each
     * @param cpus the processors to which they are bound, as a list for {@code taskset}; empty for all
     * @param jar the jar to start; empty for the one that runs
     * @param java additional options of the Java virtual machine
     * @param probes whether dispatchers may probe workers
     * @param copies whether a task may have a second attempt while the first one is open
     * @param maxAttempts the maximum number of attempts of a task
     * @param maxRetryAfter the longest time that {@code Retry-After} may contain
     * @param settings settings that replace those derived from this plan; null for none
     */
    public record Dispatchers(int port, int memoryMb, int sockets, String cpus, String jar, List<String> java,
            boolean probes, boolean copies, int maxAttempts, Span maxRetryAfter, JsonNode settings) {}

    /**
     * A fault to inject.
     *
     * @param what its kind
     * @param at when it begins, since the start of the load
     * @param length how long it lasts
     * @param share the share of the workers or dispatchers that it affects, drawn at random from the seed
     * @param site the site that it is limited to; empty for all
     * @param names the names of the affected workers, dispatchers or links, in addition to the share
     * @param factor how many times slower a worker is, or the bandwidth of a link relative to the smallest
     *        one
     * @param rate the share of the tasks, connections or packets that it affects, of the machine that other
     *        processes use, or of the processor time that remains
     * @param delay a time that depends on the kind, such as the age of reports
     */
    public record Fault(Kind what, Span at, Span length, double share, String site, List<String> names,
            double factor, double rate, Span delay) {
        /** The kinds of faults: of workers, discovery agents, dispatchers, and links between dispatchers. */
        public enum Kind {
            /** The worker is slower by the factor. */
            SLOW,
            /** The worker accepts tasks, but runs none and sends no response. */
            HANG,
            /** A share of the tasks fails as soon as it starts. */
            ERRORS,
            /** The worker hangs repeatedly, each time for the delay. */
            PAUSES,
            /** Other processes use a share of the machine. */
            NEIGHBOUR,
            /** Load reports are older by the delay than usual. */
            LATE_REPORTS,
            /** The worker drains and terminates at the end. */
            DRAIN,
            /** The worker terminates without a restart; its connections are reset. */
            LEAVE,
            /** The worker terminates, its connections are reset, and it restarts cold at the end. */
            CRASH,
            /** A share of the connections is reset when a request begins to arrive. */
            RESET_BEFORE,
            /** A share of the connections is reset when the task starts to run. */
            RESET_AFTER,
            /** A share of the connections is reset in the middle of the response. */
            RESET_WITHIN,
            /** A share of the responses is truncated by an orderly close of the connection. */
            HALF_ANSWER,
            /** A share of the tasks runs, but no response is sent. */
            SILENT,
            /** Responses are sent byte by byte, separated by the delay. */
            SLOW_BYTES,
            /** The site is partitioned from all others; no connection is reset. */
            CUT,
            /** The discovery agent does not respond. */
            ROSTER_SILENT,
            /** The discovery agent responds with the list as it was before the delay. */
            ROSTER_OLD,
            /** The dispatcher is killed, and restarted at the end. */
            DISPATCHER_KILLED,
            /** The dispatcher is suspended, and resumed at the end. */
            DISPATCHER_STOPPED,
            /** The dispatcher gets only a share of the processor time. */
            DISPATCHER_STARVED,
            /** The dispatcher is requested to shut down, and restarted at the end. */
            DISPATCHER_ENDED,
            /** The link transmits nothing. */
            WAY_CUT,
            /** The link is cut and restored alternately, each time for the delay. */
            WAY_FLAPPING,
            /** A share of the packets is lost. */
            WAY_LOSSY,
            /** Packets are delayed. */
            WAY_SLOW,
            /** Packets are delayed by random times up to the delay. */
            WAY_SCATTERED,
            /** A share of the packets is duplicated. */
            WAY_REPEATING,
            /** The link has little bandwidth. */
            WAY_NARROW
        }

        /** Returns whether it affects dispatcher processes, so that the code that starts them injects it. */
        public boolean affectsDispatchers() {
            return what.name().startsWith("DISPATCHER_");
        }

        /**
         * Returns whether it affects links between dispatchers. Its names are then pairs: {@code d1>d2} for
         * one direction, {@code d1=d2} for both, {@code *} for any dispatcher.
         */
        public boolean affectsLinks() {
            return what.name().startsWith("WAY_");
        }
    }

    /**
     * Whether and how dispatchers know one another.
     *
     * @param enabled whether they do, by means of an operator file for each dispatcher
     * @param period the period of heartbeats
     * @param forget the time after which a failed member is forgotten
     * @param sharesDrains whether dispatchers inform one another of the drains of workers
     * @param detectionLimit the maximum time from a failure to its detection by each other dispatcher
     * @param agreementLimit the maximum time from the last fault until all views agree
     */
    public record Members(boolean enabled, Span period, Span forget, boolean sharesDrains,
            Span detectionLimit,
            Span agreementLimit) {}

    /**
     * Leases among dispatchers that know one another.
     *
     * @param acceptors the number of dispatchers, starting with the first one, that are acceptors
     * @param term how long a lease is held without a renewal
     * @param drift the bound on the drift of clocks, as a share
     * @param checksTokens whether workers refuse an effect with a lower fencing token than the highest one
     *        seen
     * @param periodicJobs the periodic jobs
     */
    public record Leases(int acceptors, Span term, double drift, boolean checksTokens,
            List<PeriodicJob> periodicJobs) {}

    /**
     * A periodic job: its tasks are submitted by the holder of the lease of that name.
     *
     * @param name the name of the job and of its lease
     * @param type the traffic type of its tasks
     * @param every the time between two runs
     * @param objects the number of tasks in a run
     * @param rate the number of tasks submitted per second
     */
    public record PeriodicJob(String name, String type, Span every, int objects, double rate) {}

    /**
     * How often an experiment runs each arm.
     *
     * @param seeds the seeds; each arm runs once with each of them
     * @param confidence the minimum confidence level of the intervals
     * @param settle how long the processes run before the load starts
     */
    public record Trials(List<Long> seeds, double confidence, Span settle) {}

    /**
     * The search for the highest sustainable rate.
     *
     * @param maxAddedLatency the limit on the 99th percentile of the latency that dispatchers add
     * @param maxRate the highest rate to try
     * @param tolerance the precision of the search: the remaining gap between the highest sustainable rate
     *        and the lowest one that is not sustainable, as a share
     */
    public record Ladder(Span maxAddedLatency, double maxRate, double tolerance) {}

    /**
     * A variant of this file.
     *
     * @param name its name
     * @param set the values that replace those in the file, by path; null for none
     */
    public record Arm(String name, JsonNode set) {}

    /** Returns the number of dispatchers at all sites. */
    public int dispatcherCount() {
        return sites.stream().mapToInt(Site::dispatchers).sum();
    }

    /** Returns the number of workers at all sites. */
    public int workerCount() {
        return sites.stream().flatMap(site -> site.workers().stream()).mapToInt(WorkerGroup::count).sum();
    }
}
