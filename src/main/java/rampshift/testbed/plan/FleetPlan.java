package rampshift.testbed.plan;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import rampshift.time.Span;
import rampshift.toml.Range;

/**
 * A fleet file: what is started, what comes, and what goes wrong when. Spans are as the file gives them,
 * shares
 * lie between 0 and 1, rates are a second.
 */
public record FleetPlan(
        Span length,
        long seed,
        List<Site> sites,
        List<Machine> machines,
        List<Type> types,
        Arrivals arrivals,
        Clients clients,
        Workers workers,
        Cold cold,
        Reports reports,
        Roster roster,
        Network network,
        Dispatchers dispatchers,
        Members members,
        Leases leases,
        List<Trouble> troubles,
        Trials trials,
        Ladder ladder,
        List<Arm> arms) {

    /** Share: of the arrivals. */
    public record Site(String name, double share, int dispatchers, List<WorkerGroup> workers) {}

    /** So many workers of one machine. */
    public record WorkerGroup(String machine, int count) {}

    /** Speed: work done in a second by one slot. Waiting: the most jobs that wait; more are turned away. */
    public record Machine(String name, int slots, double speed, int waiting, double memory) {}

    /** Work: the mean, as time on a machine of speed 1. */
    public record Type(String name, double share, Effect effect, Group group, Span window, Span work,
            Spread spread, Span due, double stretch, Span expiry, double earnings, double lateEarnings,
            double slots, double memory, int body) {
        /** What a second run would do. */
        public enum Effect { IDEMPOTENT, FINGERPRINTED, SIDE_EFFECTING }

        /** The workers that drop a repeat together. */
        public enum Group { ALL, SITE, CELL }

        /** How the work of single tasks lies around its mean. */
        public enum Spread {
            FIXED, EXPONENTIAL, NARROW
        }
    }

    /** Objects: how many different ones tasks are about; 0 for none. */
    public record Arrivals(double rate, boolean even, int objects, List<Burst> bursts) {}

    /** Arrivals come so many times as often; all sites, or the one that is named. */
    public record Burst(Span at, Span length, double times, String site) {}

    /**
     * Patience: of the expiry. Late: the lateness of the tool's own sends beyond which more than one in a
     * hundred
     * void a run. Idle: connections that sent one task and then stand idle. In hand: where above 0, a closed
     * loop
     * of so many at a time instead of arrivals. Warm-up: tasks of that time at the start count in no figure.
     */
    public record Clients(int processes, int retries, Range pause, boolean honourReturn, double patience,
            Range deadFront, Span mostLate, int idle, int inHand, boolean keep, Span warmUp) {}

    /** Cell: so many workers share one. Stops: work ends when its assignment is called off. */
    public record Workers(boolean tellsStart, Span progress, boolean stops, boolean inOrder, Span idle,
            int cell,
            Span connectionCost) {}

    /** From: share of a worker's speed at its start. Pushed over: sent more than tip times what it can do. */
    public record Cold(double from, Span warm, double tip, Span fall) {}

    public record Reports(How how, List<Figure> figures, Span refresh) {
        /** Where a report stands. */
        public enum How { NONE, INLINE, PROBE }

        /** What it tells. */
        public enum Figure { FREE_SLOTS, WAITING, HELD, FREE_MEMORY }
    }

    /** Port: of the first dispatcher's agent, the next ones follow; 0 for any. Grace: of drains. */
    public record Roster(int port, Range delay, boolean liveWeights, Span refresh, Span grace) {}

    /** One way, between sites. */
    public record Network(Range crossing) {}

    /** Port: of the first one, the next ones follow; 0 for any. */
    public record Dispatchers(int port, int memoryMb, int sockets, String cpus, String jar, List<String> java,
            boolean probes, boolean copies, int mostAssignments, Span longestReturn, JsonNode settings) {}

    /**
     * One trouble. Share: of the workers (or dispatchers) it befalls, drawn by the seed; or the names of
     * those.
     * Factor: times slower. Rate: of the assignments it befalls, or of the machine that a neighbour takes.
     */
    public record Trouble(Kind what, Span at, Span length, double share, String site, List<String> names,
            double factor, double rate, Span delay) {
        /** Kinds of trouble. */
        public enum Kind {
            SLOW, HANG, ERRORS, PAUSES, NEIGHBOUR, LATE_REPORTS, DRAIN, LEAVE, CRASH, RESET_BEFORE, RESET_AFTER, RESET_WITHIN, HALF_ANSWER, SILENT, SLOW_BYTES, CUT, ROSTER_SILENT, ROSTER_OLD, DISPATCHER_KILLED, DISPATCHER_STOPPED, DISPATCHER_STARVED, DISPATCHER_ENDED, WAY_CUT, WAY_FLAPPING, WAY_LOSSY, WAY_SLOW, WAY_SCATTERED, WAY_REPEATING, WAY_NARROW
        }

        /** The dispatchers' processes are the business of whoever started them. */
        public boolean ofDispatchers() {
            return what.name().startsWith("DISPATCHER_");
        }

        /**
         * Of what goes between dispatchers: names are pairs, d1>d2 for one direction, d1=d2 for both, * for
         * any.
         */
        public boolean ofWays() {
            return what.name().startsWith("WAY_");
        }
    }

    /**
     * Whether the dispatchers know each other, by an operator's file of their own. Known by: until all others
     * know that
     * one has failed; agree by: from the last fault until all agree. Both are what the judge asks for.
     */
    public record Members(boolean enabled, Span period, Span forget, boolean news, Span knownBy,
            Span agreeBy) {}

    /**
     * Leases among dispatchers that know each other: the first so many keep them. Checked: workers refuse an
     * effect under
     * a lower token than they have seen.
     */
    public record Leases(int keepers, Span term, double drift, boolean checked, List<Duty> duties) {}

    /** Tasks of a type, so many in a run, handed in by whoever holds the lease of its name. */
    public record Duty(String name, String type, Span every, int objects, double rate) {}

    /** Pairs: one for each seed. Confidence: of the intervals, at least. */
    public record Trials(List<Long> seeds, double confidence, Span settle) {}

    /**
     * Bound: of the 99th percentile of added time. Most: the highest rate to try. Narrow: of the gap that may
     * stay.
     */
    public record Ladder(Span bound, double most, double narrow) {}

    /** What is set otherwise than in the file: path to value. */
    public record Arm(String name, JsonNode set) {}

    public int dispatcherCount() {
        return sites.stream().mapToInt(Site::dispatchers).sum();
    }

    public int workerCount() {
        return sites.stream().flatMap(s -> s.workers().stream()).mapToInt(WorkerGroup::count).sum();
    }
}
