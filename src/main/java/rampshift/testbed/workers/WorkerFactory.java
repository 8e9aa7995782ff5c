package rampshift.testbed.workers;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.random.RandomStreams;
import rampshift.time.Span;

/** Creates the emulated workers of a plan, with a link from each dispatcher to each of them. */
final class WorkerFactory {
    private final FleetContext fleet;
    private final FleetPlan plan;
    private final long seed;
    private final List<Integer> dispatcherSites;
    private final List<EmulatedWorker> workers = new ArrayList<>();
    private final List<IdempotencyKeys> fleetKeys;
    private int lastCell;

    /**
     * Creates a factory.
     *
     * @param fleet the context that all workers share
     * @param seed the seed of the run
     * @param dispatcherSites the index of each dispatcher's site
     */
    WorkerFactory(FleetContext fleet, long seed, List<Integer> dispatcherSites) {
        this.fleet = fleet;
        plan = fleet.plan();
        this.seed = seed;
        this.dispatcherSites = dispatcherSites;
        fleetKeys = createKeys();
    }

    /**
     * Creates all workers, in the order of the plan; must be called only once.
     *
     * @throws IOException if a port cannot be opened
     */
    List<EmulatedWorker> createAll() throws IOException {
        for (int site = 0; site < plan.sites().size(); site++) {
            createSite(site, plan.sites().get(site));
        }
        return workers;
    }

    /** Creates the workers of a site. Cells do not span sites; the last cell of a site may be smaller. */
    private void createSite(int siteIndex, FleetPlan.Site site) throws IOException {
        List<IdempotencyKeys> siteKeys = createKeys();
        List<IdempotencyKeys> cellKeys = List.of();
        int workersInCell = 0;
        int number = 0;
        for (FleetPlan.WorkerGroup group : site.workers()) {
            FleetPlan.Machine machine = machine(group.machine());
            for (int i = 0; i < group.count(); i++) {
                if (number == 0 || workersInCell == plan.workers().cell()) {
                    cellKeys = createKeys();
                    workersInCell = 0;
                    lastCell++;
                }
                workersInCell++;
                number++;
                String uid = site.name() + "-" + group.machine() + "-" + number;
                workers.add(create(new WorkerIdentity(uid, siteIndex, lastCell, machine),
                        selectKeys(siteKeys, cellKeys)));
            }
        }
    }

    private EmulatedWorker create(WorkerIdentity identity, List<IdempotencyKeys> keys) throws IOException {
        EmulatedWorker worker =
                new EmulatedWorker(fleet, identity, keys, RandomStreams.of(seed, identity.uid()));
        UniformRandomProvider random = RandomStreams.of(seed, "link " + identity.uid());
        for (int dispatcherSite : dispatcherSites) {
            boolean isLocal = dispatcherSite == identity.site();
            worker.openLink(isLocal ? Span.ZERO : plan.network().siteDelay().at(random.nextDouble()));
        }
        return worker;
    }

    private FleetPlan.Machine machine(String name) {
        return plan.machines().stream().filter(machine -> machine.name().equals(name)).findFirst()
                .orElseThrow();
    }

    /** Creates the idempotency keys of a group of workers, one instance per type of the plan. */
    private List<IdempotencyKeys> createKeys() {
        return plan.types().stream().map(type -> new IdempotencyKeys()).toList();
    }

    /** Selects for each type the idempotency keys of the group that the plan names. */
    private List<IdempotencyKeys> selectKeys(List<IdempotencyKeys> siteKeys, List<IdempotencyKeys> cellKeys) {
        List<IdempotencyKeys> selected = new ArrayList<>();
        for (int type = 0; type < plan.types().size(); type++) {
            selected.add(switch (plan.types().get(type).group()) {
                case ALL -> fleetKeys.get(type);
                case SITE -> siteKeys.get(type);
                case CELL -> cellKeys.get(type);
            });
        }
        return selected;
    }
}
