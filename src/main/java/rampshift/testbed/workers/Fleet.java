package rampshift.testbed.workers;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.discovery.DiscoveryAgent;
import rampshift.testbed.discovery.WorkerEntry;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.random.RandomStreams;
import rampshift.testbed.wire.LoopbackNetwork;
import rampshift.time.Span;

/** The workers and the roster of a plan, all on one I/O thread of one process. */
public final class Fleet {
    private final FleetPlan plan;
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private StallMonitor beat;
    private final EventLog ledger;
    private final List<EmulatedWorker> standIns = new ArrayList<>();
    private final List<DiscoveryAgent> agents = new ArrayList<>();
    private final List<WorkerEntry> entries = new ArrayList<>();
    private Runnable firstTask;

    /** Opens everything; throws where a port or a descriptor can't be had. */
    public Fleet(FleetPlan plan, long seed, EventLog ledger) throws IOException {
        this.plan = plan;
        this.ledger = ledger;
        worker = LoopbackNetwork.createWorker("fleet");
        thread = worker.getIoThread(0);
        Callable<Void> opening = () -> {
            open(seed);
            return null;
        };
        FutureTask<Void> start = new FutureTask<>(opening);
        thread.execute(start);
        try {
            start.get();
        } catch (ExecutionException e) {
            worker.shutdownNow();
            if (e.getCause() instanceof IOException io) {
                throw io;
            }
            throw new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            throw new IOException("interrupted");
        }
    }

    private void open(long seed) throws IOException {
        IdempotencyKeys[] all = fingerprints();
        beat = new StallMonitor(thread);
        FencingTokens tokens = new FencingTokens(plan.leases().checked());
        int[] siteOf = siteOfDispatchers();
        int cell = 0;
        for (int s = 0; s < plan.sites().size(); s++) {
            FleetPlan.Site site = plan.sites().get(s);
            IdempotencyKeys[] ofSite = fingerprints();
            IdempotencyKeys[] ofCell = null;
            int inCell = 0;
            int number = 0;
            for (FleetPlan.WorkerGroup group : site.workers()) {
                FleetPlan.Machine kind = machine(group.machine());
                for (int i = 0; i < group.count(); i++) {
                    if (ofCell == null || inCell == plan.workers().cell()) {
                        ofCell = fingerprints();
                        inCell = 0;
                        cell++;
                    }
                    inCell++;
                    String uid = site.name() + "-" + group.machine() + "-" + ++number;
                    EmulatedWorker one =
                            new EmulatedWorker(uid, s, cell, kind, plan, groups(all, ofSite, ofCell), tokens,
                                    beat, thread, ledger,
                                    RandomStreams.of(seed, uid), this::taskCame);
                    UniformRandomProvider chance = RandomStreams.of(seed, "link " + uid);
                    int[] ports = new int[siteOf.length];
                    for (int d = 0; d < siteOf.length; d++) {
                        Span crossing = siteOf[d] == s ? Span.ZERO
                                : plan.network().crossing().at(chance.nextDouble());
                        Link link = new Link(d, worker, crossing, one::opened);
                        one.links.add(link);
                        ports[d] = link.port();
                    }
                    standIns.add(one);
                    entries.add(
                            new WorkerEntry(uid, site.name(), kind.name(), cell, WorkerEntry.State.READY,
                                    one.weight(), 0,
                                    ports));
                    ledger.append(EventClock.now(), "boot", uid, "warm");
                }
            }
        }
        for (int d = 0; d < siteOf.length; d++) {
            agents.add(new DiscoveryAgent(d, worker, plan.roster().port() == 0 ? 0 : plan.roster().port() + d,
                    ledger,
                    plan.roster().delay(), RandomStreams.of(seed, "agent " + d), entries));
        }
        if (plan.roster().liveWeights()) {
            weighLater();
        }
    }

    /** Once, when the first task reaches a worker. */
    public void whenFirstTask(Runnable told) {
        thread.execute(() -> firstTask = told);
    }

    private void taskCame() {
        if (firstTask != null) {
            Runnable told = firstTask;
            firstTask = null;
            told.run();
        }
    }

    private FleetPlan.Machine machine(String name) {
        return plan.machines().stream().filter(m -> m.name().equals(name)).findFirst().orElseThrow();
    }

    private IdempotencyKeys[] fingerprints() {
        IdempotencyKeys[] each = new IdempotencyKeys[plan.types().size()];
        for (int i = 0; i < each.length; i++) {
            each[i] = new IdempotencyKeys();
        }
        return each;
    }

    private IdempotencyKeys[] groups(IdempotencyKeys[] all, IdempotencyKeys[] ofSite,
            IdempotencyKeys[] ofCell) {
        IdempotencyKeys[] mine = new IdempotencyKeys[all.length];
        for (int i = 0; i < mine.length; i++) {
            mine[i] = switch (plan.types().get(i).group()) {
                case ALL -> all[i];
                case SITE -> ofSite[i];
                case CELL -> ofCell[i];
            };
        }
        return mine;
    }

    /** The place of each dispatcher's site, in the plan's order. */
    public int[] siteOfDispatchers() {
        int[] sites = new int[plan.dispatcherCount()];
        int next = 0;
        for (int s = 0; s < plan.sites().size(); s++) {
            for (int i = 0; i < plan.sites().get(s).dispatchers(); i++) {
                sites[next++] = s;
            }
        }
        return sites;
    }

    public int agentPort(int dispatcher) {
        return agents.get(dispatcher).port();
    }

    /** The list in discovery's form, as that dispatcher would be told it. */
    public String list(int dispatcher) {
        return agents.get(dispatcher).list();
    }

    public XnioIoThread thread() {
        return thread;
    }

    // ---- what troubles do; all on the I/O thread

    public List<String> names(String site) {
        List<String> names = new ArrayList<>();
        for (EmulatedWorker one : standIns) {
            if (site.isEmpty() || plan.sites().get(one.site).name().equals(site)) {
                names.add(one.uid);
            }
        }
        return names;
    }

    public void ill(String name, FleetPlan.Trouble t, boolean on) {
        EmulatedWorker one = find(name);
        WorkerFaults ill = one.ill;
        double rate = on ? t.rate() : 0;
        switch (t.what()) {
            case SLOW -> ill.speed = on ? 1 / t.factor() : 1;
            case NEIGHBOUR -> ill.speed = 1 - rate;
            case HANG, PAUSES -> ill.hangs = on;
            case ERRORS -> ill.errors = rate;
            case RESET_BEFORE -> ill.resetBefore = rate;
            case RESET_AFTER -> ill.resetAfter = rate;
            case RESET_WITHIN -> ill.resetWithin = rate;
            case HALF_ANSWER -> ill.halfAnswers = rate;
            case SILENT -> ill.silent = rate;
            case SLOW_BYTES -> ill.drip = on ? t.delay() : Span.ZERO;
            case LATE_REPORTS -> one.reports.late(on ? t.delay() : Span.ZERO);
            default -> throw new IllegalArgumentException(t.what().name());
        }
        one.changed();
    }

    /** It drains: it goes on with what it has, and the roster tells of it. */
    public void drain(String name) {
        publish(name, entry(name).with(WorkerEntry.State.DRAINING));
    }

    /** It is gone in order, as far as the roster knows. */
    public void leave(String name) {
        find(name).crash();
        publish(name, entry(name).with(WorkerEntry.State.GONE));
    }

    public void comeBack(String name) {
        EmulatedWorker one = find(name);
        one.comeBack();
        publish(name, entry(name).bornAt(EventClock.now().micros() / 1000));
    }

    /** The site and the others can't hear one another. Its dispatchers still reach its own workers. */
    public void cut(String site, boolean on) {
        int[] siteOf = siteOfDispatchers();
        for (EmulatedWorker one : standIns) {
            for (Link link : one.links) {
                boolean here = plan.sites().get(one.site).name().equals(site);
                boolean from = plan.sites().get(siteOf[link.dispatcher]).name().equals(site);
                if (here != from) {
                    link.cut(on);
                }
            }
        }
    }

    /** The agents of the dispatchers named; of all where none is. */
    public void rosterSilent(List<String> dispatchers, boolean on) {
        of(dispatchers).forEach(a -> a.silent(on));
    }

    public void rosterOld(List<String> dispatchers, Span ago) {
        of(dispatchers).forEach(a -> a.old(ago));
    }

    private List<DiscoveryAgent> of(List<String> dispatchers) {
        List<DiscoveryAgent> some = new ArrayList<>();
        for (int d = 0; d < agents.size(); d++) {
            if (dispatchers.isEmpty() || dispatchers.contains("d" + (d + 1))) {
                some.add(agents.get(d));
            }
        }
        return some;
    }

    private EmulatedWorker find(String name) {
        return standIns.stream().filter(s -> s.uid.equals(name)).findFirst().orElseThrow();
    }

    private WorkerEntry entry(String name) {
        return entries.stream().filter(e -> e.uid().equals(name)).findFirst().orElseThrow();
    }

    private void publish(String name, WorkerEntry entry) {
        entries.replaceAll(e -> e.uid().equals(name) ? entry : e);
        agents.forEach(a -> a.changed(List.of(entry), true));
    }

    private void weighLater() {
        thread.executeAfter(() -> {
            List<WorkerEntry> changed = new ArrayList<>();
            for (int i = 0; i < entries.size(); i++) {
                WorkerEntry old = entries.get(i);
                double weight = standIns.get(i).weight();
                if (old.state() == WorkerEntry.State.READY
                        && Math.abs(weight - old.weight()) > 0.01 * weight) {
                    entries.set(i, old.weighing(weight));
                    changed.add(entries.get(i));
                }
            }
            if (!changed.isEmpty()) {
                agents.forEach(a -> a.changed(changed, true));
            }
            weighLater();
        }, Math.max(10, Math.round(plan.roster().refresh().millis())), TimeUnit.MILLISECONDS);
    }

    /** Whether it fell over, or is out for another reason. */
    public boolean down(String name) {
        return find(name).down();
    }

    public void close() {
        FutureTask<Void> end = new FutureTask<>(() -> {
            standIns.forEach(EmulatedWorker::close);
            agents.forEach(DiscoveryAgent::close);
            beat.stop();
        }, null);
        thread.execute(end);
        try {
            end.get(5, TimeUnit.SECONDS);
        } catch (ExecutionException | java.util.concurrent.TimeoutException e) {
            // The process ends anyhow.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        worker.shutdownNow();
    }
}
