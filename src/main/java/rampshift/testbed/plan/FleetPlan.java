package rampshift.testbed.plan;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import rampshift.time.Span;
import rampshift.toml.Range;

/**
 * A fleet file: which processes are started, which load they get, and which faults are injected when. Shares
 * lie between 0 and 1 unless said otherwise, rates are per second.
 *
 * @param length how long the load lasts
 * @param seed the seed of all random choices
 * @param sites where workers and dispatchers are; at least one
 * @param machines the kinds of machines that workers run on; at least one
 * @param types the traffic types; at least one
 * @param arrivals how often tasks come
 * @param clients how clients send tasks
 * @param workers how workers behave
 * @param slowStart how workers behave after their start
 * @param reports which load reports workers send
 * @param discovery how discovery agents tell the endpoint list
 * @param network the delay between sites
 * @param dispatchers how dispatchers are started and configured
 * @param members whether dispatchers know one another
 * @param leases the leases and periodic jobs of dispatchers that know one another
 * @param faults the faults to inject
 * @param trials how often an experiment runs each arm
 * @param ladder what the search for the highest rate is held to
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
     * @param dispatchers how many dispatchers are there
     * @param workers the workers that are there
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
     * @param speed the work that a slot does in a second, in seconds on a machine of speed 1
     * @param waiting how many tasks may wait; further ones are turned away
     * @param memory how much memory its tasks may use together, in the unit of {@link TrafficType#memory()}
     */
    public record Machine(String name, int slots, double speed, int waiting, double memory) {}

    /**
     * A traffic type. A task that is completed by its due time earns all, one that is completed later a part.
     *
     * @param name its name
     * @param share its share of the arrivals, relative to the shares of the other types
     * @param effect what a second run of a task would do
     * @param group which workers recognize a repeat together
     * @param window how long a repeat is recognized
     * @param work the mean work of a task, as time on a machine of speed 1
     * @param spread how the work of single tasks is distributed around the mean
     * @param due until when a task is to be completed, without the part that depends on its work
     * @param stretch how many times its own work a task has in addition to {@code due}
     * @param expiry when a task is of no use any more; longer than {@code due}
     * @param earnings what a task earns that is completed in time
     * @param lateEarnings the share of the earnings that a late task earns
     * @param slots how many slots a task uses
     * @param memory how much memory a task uses
     * @param body the size of a task's body, in bytes
     */
    public record TrafficType(String name, double share, Effect effect, Group group, Span window, Span work,
            Spread spread, Span due, double stretch, Span expiry, double earnings, double lateEarnings,
            double slots, double memory, int body) {
        /**
         * What a second run of a task would do: nothing more than the first one, nothing if workers recognize
         * the repeat by its idempotency key, or the same effect once more.
         */
        public enum Effect { IDEMPOTENT, FINGERPRINTED, SIDE_EFFECTING }

        /** The workers that recognize a repeat together: all, those of a site, or those of a cell. */
        public enum Group {
            ALL, SITE, CELL
        }

        /**
         * How the work of single tasks is distributed around its mean: not at all, exponentially, or evenly
         * between half of it and one and a half times as much.
         */
        public enum Spread { FIXED, EXPONENTIAL, NARROW }
    }

    /**
     * How often tasks come.
     *
     * @param rate tasks per second over all sites
     * @param even whether the gaps between arrivals are all the same; else arrivals are a Poisson process
     * @param objects how many different objects tasks are about; 0 for none
     * @param bursts when more or fewer tasks come
     */
    public record Arrivals(double rate, boolean even, int objects, List<Burst> bursts) {}

    /**
     * A time in which more or fewer tasks come.
     *
     * @param at when it begins, since the start of the load
     * @param length how long it lasts
     * @param times what the rate is multiplied by
     * @param site the site that it is limited to; empty for all
     */
    public record Burst(Span at, Span length, double times, String site) {}

    /**
     * How clients send tasks.
     *
     * @param processes how many load processes there are
     * @param retries how often a client sends a task again that was rejected or failed
     * @param pause how long a client waits before a retry
     * @param honourReturn whether a client waits at least as long as {@code Retry-After} asks for
     * @param patience the share of a task's expiry that a client waits for its response
     * @param deadFront how long the front proxy goes on to send to a dispatcher that died
     * @param mostLate the lateness of the tool's own sends; if more than one in a hundred is beyond it, the
     *        run is void
     * @param idle how many connections send one task and then stay idle
     * @param inHand if above 0, so many tasks are in flight at any time, whatever the rate of arrivals is
     * @param keep whether connections are reused
     * @param warmUp tasks of this time at the start count in no figure
     */
    public record Clients(int processes, int retries, Range pause, boolean honourReturn, double patience,
            Range deadFront, Span mostLate, int idle, int inHand, boolean keep, Span warmUp) {}

    /**
     * How workers behave.
     *
     * @param tellsStart whether a worker tells when a task starts to run
     * @param progress how often a worker tells that a task still runs
     * @param stops whether a task stops when its attempt is cancelled
     * @param inOrder whether tasks that wait start in the order in which they came
     * @param idle after which time without a task a connection is closed
     * @param cell how many workers are in a cell
     * @param connectionCost by how much the first task on a new connection is delayed
     */
    public record Workers(boolean tellsStart, Span progress, boolean stops, boolean inOrder, Span idle,
            int cell, Span connectionCost) {}

    /**
     * How workers behave after their start.
     *
     * @param from the share of its speed that a worker has at its start
     * @param warm how long it takes until the worker has its full speed
     * @param tip how many times the work it can do a cold worker is to be sent to fail
     * @param fall the time over which that is measured
     */
    public record SlowStart(double from, Span warm, double tip, Span fall) {}

    /**
     * Load reports of workers.
     *
     * @param how how a report is sent
     * @param figures which figures a report has
     * @param refresh how often the figures are measured anew, at the most
     */
    public record Reports(How how, List<Figure> figures, Span refresh) {
        /** How a load report is sent: not at all, in a header of each response, or in that to a probe. */
        public enum How {
            NONE, INLINE, PROBE
        }

        /** What a load report tells: free slots, tasks that wait, tasks that run or wait, free memory. */
        public enum Figure {
            FREE_SLOTS, WAITING, HELD, FREE_MEMORY
        }
    }

    /**
     * How discovery agents tell the endpoint list.
     *
     * @param port the port of the first dispatcher's agent, the next ones follow; 0 for any
     * @param delay how late each change is told
     * @param liveWeights whether the weights of workers follow their load
     * @param refresh how often live weights are told
     * @param grace how long after a drain was told attempts may still begin
     */
    public record Discovery(int port, Range delay, boolean liveWeights, Span refresh, Span grace) {}

    /**
     * The network.
     *
     * @param crossing the delay between two sites, in one direction
     */
    public record Network(Range crossing) {}

    /**
     * How dispatchers are started and configured.
     *
     * @param port the port of the first one, the next ones follow; 0 for any
     * @param memoryMb the limit on memory of each, in MiB
     * @param sockets the limit on sockets of each
     * @param cpus the processors that they are bound to, as a list for {@code taskset}; empty for all
     * @param jar the jar to start; empty for the one that runs
     * @param java further options of the Java virtual machine
     * @param probes whether workers may be probed
     * @param copies whether a task may have a second attempt while the first one is open
     * @param mostAssignments how many attempts a task may have
     * @param longestReturn the longest time that {@code Retry-After} may ask for
     * @param settings single settings that replace those derived from this plan; null for none
     */
    public record Dispatchers(int port, int memoryMb, int sockets, String cpus, String jar, List<String> java,
            boolean probes, boolean copies, int mostAssignments, Span longestReturn, JsonNode settings) {}

    /**
     * A fault to inject.
     *
     * @param what its kind
     * @param at when it begins, since the start of the load
     * @param length how long it lasts
     * @param share the share of the workers or dispatchers that it befalls, drawn by the seed
     * @param site the site that it is limited to; empty for all
     * @param names the names of those that it befalls in addition to the share
     * @param factor how many times slower they are, or how many times the least bandwidth a link has
     * @param rate the share of tasks, connections or packets that it befalls, of the machine that is taken,
     *        or of the processor time that is left
     * @param delay a time that depends on the kind, such as the age of reports
     */
    public record Fault(Kind what, Span at, Span length, double share, String site, List<String> names,
            double factor, double rate, Span delay) {
        /** The kinds of faults: of workers, discovery agents, dispatchers, and links between dispatchers. */
        public enum Kind {
            /** The worker is slower by the factor. */
            SLOW,
            /** The worker takes tasks, runs and answers none. */
            HANG,
            /** A share of the tasks fails as soon as it starts. */
            ERRORS,
            /** The worker stands still for the delay, again and again. */
            PAUSES,
            /** A share of the machine is taken by others. */
            NEIGHBOUR,
            /** Load reports are older by the delay. */
            LATE_REPORTS,
            /** The worker drains, and is gone at the end. */
            DRAIN,
            /** The worker is gone for good, its connections are reset. */
            LEAVE,
            /** The worker is gone, its connections are reset, and it is back, cold, at the end. */
            CRASH,
            /** A share of the connections is reset before the last byte of a task. */
            RESET_BEFORE,
            /** A share of the connections is reset after the task has started to run. */
            RESET_AFTER,
            /** A share of the connections is reset in the middle of the response. */
            RESET_WITHIN,
            /** A share of the responses ends in its middle, with an orderly end of the connection. */
            HALF_ANSWER,
            /** A share of the tasks runs and gets no byte of a response. */
            SILENT,
            /** Responses come byte by byte, one each delay. */
            SLOW_BYTES,
            /** The site and all others do not hear one another; nothing is reset. */
            CUT,
            /** The discovery agent answers nothing. */
            ROSTER_SILENT,
            /** The discovery agent tells the list as it was before the delay. */
            ROSTER_OLD,
            /** The dispatcher is killed, and started again at the end. */
            DISPATCHER_KILLED,
            /** The dispatcher is suspended, and resumed at the end. */
            DISPATCHER_STOPPED,
            /** The dispatcher gets a share of the processor time alone. */
            DISPATCHER_STARVED,
            /** The dispatcher is told to shut down, and started again at the end. */
            DISPATCHER_ENDED,
            /** Nothing crosses the link. */
            WAY_CUT,
            /** The link is cut and restored in turns, each time for the delay. */
            WAY_FLAPPING,
            /** A share of the packets is lost. */
            WAY_LOSSY,
            /** Packets come later by the delay. */
            WAY_SLOW,
            /** Packets come later by random times up to the delay. */
            WAY_SCATTERED,
            /** A share of the packets comes twice. */
            WAY_REPEATING,
            /** The link has little bandwidth. */
            WAY_NARROW
        }

        /** Whether it befalls processes of dispatchers, so that whoever started them has to carry it out. */
        public boolean affectsDispatchers() {
            return what.name().startsWith("DISPATCHER_");
        }

        /**
         * Whether it befalls links between dispatchers. Its names are pairs then: {@code d1>d2} for one
         * direction, {@code d1=d2} for both, {@code *} for any dispatcher.
         */
        public boolean affectsLinks() {
            return what.name().startsWith("WAY_");
        }
    }

    /**
     * Whether and how dispatchers know one another.
     *
     * @param enabled whether they do, by an operator's file of their own
     * @param period the period of heartbeats
     * @param forget after which time a member that failed is forgotten
     * @param news whether drains of workers are told from dispatcher to dispatcher
     * @param knownBy how long after a failure all others are to know of it
     * @param agreeBy how long after the last fault all are to agree on who is there
     */
    public record Members(boolean enabled, Span period, Span forget, boolean news, Span knownBy,
            Span agreeBy) {}

    /**
     * Leases among dispatchers that know one another.
     *
     * @param keepers how many dispatchers, from the first one on, are acceptors
     * @param term how long a lease is held without a renewal
     * @param drift the bound on the drift of clocks, as a share
     * @param checked whether workers refuse an effect under a lower fencing token than they have seen
     * @param periodicJobs the periodic jobs
     */
    public record Leases(int keepers, Span term, double drift, boolean checked,
            List<PeriodicJob> periodicJobs) {}

    /**
     * A periodic job: its tasks are submitted by the holder of the lease of that name.
     *
     * @param name its name, and that of its lease
     * @param type the traffic type of its tasks
     * @param every the time between two runs
     * @param objects how many tasks a run has
     * @param rate how many tasks are submitted per second
     */
    public record PeriodicJob(String name, String type, Span every, int objects, double rate) {}

    /**
     * How often an experiment runs each arm.
     *
     * @param seeds the seeds; each arm runs once with each of them
     * @param confidence the least confidence of the intervals
     * @param settle how long the processes run before the load begins
     */
    public record Trials(List<Long> seeds, double confidence, Span settle) {}

    /**
     * The search for the highest rate that is carried.
     *
     * @param bound the limit on the 99th percentile of the time that dispatchers add
     * @param most the highest rate to try
     * @param narrow the gap between a rate that is carried and one that is not that may stay, as a share
     */
    public record Ladder(Span bound, double most, double narrow) {}

    /**
     * A variant of this file.
     *
     * @param name its name
     * @param set the values that replace those in the file, by path; null for none
     */
    public record Arm(String name, JsonNode set) {}

    /** How many dispatchers there are at all sites. */
    public int dispatcherCount() {
        return sites.stream().mapToInt(Site::dispatchers).sum();
    }

    /** How many workers there are at all sites. */
    public int workerCount() {
        return sites.stream().flatMap(site -> site.workers().stream()).mapToInt(WorkerGroup::count).sum();
    }
}
