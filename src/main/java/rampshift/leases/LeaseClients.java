package rampshift.leases;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * The clients of all leases of one dispatcher: schedules their timers, routes replies to them, and balances
 * leases between dispatchers.
 */
final class LeaseClients {
    private static final int MAX_READS_PER_MESSAGE = 8;
    private static final int MAX_CONTENTION_STEPS = 10;
    /**
     * Minimum delay before the next timer call of a client, in terms, which merges calls that are close
     * together.
     */
    private static final double TIMER_RESOLUTION_TERMS = 0.01;

    private final LeaseTimings timings;
    private final ProcessContext process;
    private final LeaseManager.Output out;
    private final Map<String, LeaseClient> clients = new TreeMap<>();
    private final Map<Long, LeaseClient> clientByAttempt = new HashMap<>();
    private final LeaseSchedule schedule = new LeaseSchedule();
    private final LeaseDistribution distribution;
    private Moment balancedAt;

    LeaseClients(LeaseManager.Settings settings, ProcessContext process, LeaseManager.Output out) {
        timings = settings.timings();
        this.process = process;
        this.out = out;
        distribution = new LeaseDistribution(settings.name());
        for (String lease : settings.leases()) {
            ClientContext context = new ClientContext();
            context.client = new LeaseClient(lease, settings.name(), settings.processId(), timings, context);
            clients.put(lease, context.client);
        }
    }

    void start(Moment now) {
        balancedAt = now;
        clients.values().forEach(client -> reschedule(now, client));
    }

    /** Returns the client of the lease; null if there is no such lease. */
    LeaseClient get(String lease) {
        return clients.get(lease);
    }

    /** Returns all clients, sorted by the names of their leases. */
    Collection<LeaseClient> all() {
        return clients.values();
    }

    /** Returns when {@link #onTimer} is to be called, or the given time if that is earlier. */
    Moment dueAtOr(Moment other) {
        return schedule.nextOr(other);
    }

    /** Calls the clients that are due, and polls the registers of those that need it. */
    void onTimer(Moment now) {
        List<String> leasesToPoll = new ArrayList<>();
        for (String lease = schedule.pollDue(now); lease != null; lease = schedule.pollDue(now)) {
            LeaseClient client = clients.get(lease);
            if (client.needsPoll(now)) {
                leasesToPoll.add(lease);
            }
            client.onTimer(now);
            reschedule(now, client);
        }
        for (int from = 0; from < leasesToPoll.size(); from += MAX_READS_PER_MESSAGE) {
            int to = Math.min(leasesToPoll.size(), from + MAX_READS_PER_MESSAGE);
            Message read = new Message.Read(0, List.copyOf(leasesToPoll.subList(from, to)));
            process.acceptors().names().forEach(name -> process.send(name, read));
        }
    }

    /** Routes a reply to its client. Returns whether the attempt belongs to one of these clients. */
    boolean onVoteReply(Moment now, String from, Message.VoteReply reply) {
        LeaseClient client = clientByAttempt.get(reply.number());
        if (client == null) {
            return false;
        }
        client.onReply(now, from, reply);
        reschedule(now, client);
        return true;
    }

    void onReadReply(Moment now, Message.ReadReply reply) {
        int count = Math.min(reply.registers().size(), reply.values().size());
        for (int i = 0; i < count; i++) {
            LeaseClient client = clients.get(reply.registers().get(i));
            if (client != null) {
                client.onRead(now, reply.values().get(i));
                reschedule(now, client);
            }
        }
    }

    void shutDown(Moment now) {
        for (LeaseClient client : clients.values()) {
            client.shutDown(now);
            reschedule(now, client);
        }
    }

    void writeNote(Moment now, String lease, String note) {
        LeaseClient client = clients.get(lease);
        client.writeNote(now, note);
        reschedule(now, client);
    }

    /** Requests a change for an operator or for balance. Returns whether the lease exists. */
    boolean request(Moment now, String lease, ChangeFunction change) {
        LeaseClient client = clients.get(lease);
        if (client == null) {
            return false;
        }
        client.request(now, change);
        reschedule(now, client);
        return true;
    }

    boolean handOver(Moment now, String lease, String to) {
        return request(now, lease,
                new ChangeFunction.HandOver(process.nextNumber(), to, timings.term().micros()));
    }

    /** Hands one lease over to the dispatcher with the fewest leases, at most once per balance interval. */
    void balance(Moment now) {
        String target = distribution.handoverTarget();
        if (target == null || !now.since(balancedAt).longerThan(timings.balanceInterval())) {
            return;
        }
        for (LeaseClient client : clients.values()) {
            if (client.isHolding() && !client.writer().isBusy()) {
                balancedAt = now;
                handOver(now, client.name(), target);
                return;
            }
        }
    }

    void setAlive(Collection<String> names) {
        distribution.setAlive(names);
    }

    Set<String> alive() {
        return distribution.alive();
    }

    private void reschedule(Moment now, LeaseClient client) {
        distribution.update(client.name(), client.observer().current());
        Moment due = process.acceptors().isKnown() ? client.dueAt() : now.plus(timings.pollInterval());
        Moment earliest = now.plus(timings.term().times(TIMER_RESOLUTION_TERMS));
        schedule.schedule(client.name(), due.before(earliest) ? earliest : due);
    }

    /** One lease's view of the process, which maps the numbers of its attempts to its client. */
    private final class ClientContext extends ProcessContext.View implements LeaseClient.Context {
        private LeaseClient client;
        private long attempt;

        ClientContext() {
            super(process);
        }

        @Override
        public void send(String to, Message message) {
            if (message instanceof Message.Vote vote && vote.number() != attempt) {
                clientByAttempt.remove(attempt);
                attempt = vote.number();
                clientByAttempt.put(attempt, client);
            }
            super.send(to, message);
        }

        @Override
        public Span contentionDelay(String lease) {
            int steps = Math.min(distribution.contendersBefore(lease), MAX_CONTENTION_STEPS);
            return timings.takeoverStep().times(steps);
        }

        @Override
        public void emit(String lease, EventType type, LeaseRecord value) {
            process.emit(lease, type, value);
        }

        @Override
        public void changeCompleted(String lease, LeaseRecord value, Span elapsed) {
            out.changeCompleted(lease, value, elapsed);
        }
    }
}
