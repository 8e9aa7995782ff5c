package rampshift.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

/** The workers that the endpoint lists have named, and the ready ones that each traffic type may go to. */
final class WorkerTable {
    /** How many workers that are not ready are remembered, in case that they are listed as ready again. */
    private static final int MAX_ABSENT = 1024;

    /** All workers, in the order of their ids. */
    final List<Worker> all = new ArrayList<>();
    /** The ready workers. */
    private final List<List<Worker>> ready = localAndRemote();
    /**
     * By traffic type, the ready workers that it may go to; unconstrained types share the lists of all ready
     * ones.
     */
    private final List<List<List<Worker>>> byType = new ArrayList<>();
    private final List<TrafficType> types;
    /** The workers that are not ready, in the order in which they ceased to be. */
    private final Set<Worker> absent = new LinkedHashSet<>();
    private final Map<Long, Worker> byId = new HashMap<>(); // looked up, never iterated
    private final Map<Integer, KindStatistics> kinds = new HashMap<>(); // looked up, never iterated
    private final Map<Integer, ZoneStatistics> zones = new HashMap<>(); // looked up, never iterated
    private final int ownZone;
    private final BiPredicate<TrafficType, Worker> allowsPlacement;

    WorkerTable(int ownZone, List<TrafficType> types, BiPredicate<TrafficType, Worker> allowsPlacement) {
        this.ownZone = ownZone;
        this.allowsPlacement = allowsPlacement;
        this.types = types;
        types.forEach(type -> byType.add(type.isPlacementConstrained() ? localAndRemote() : ready));
    }

    /** Creates two empty lists: for the workers of the own zone and for those of other zones. */
    private static List<List<Worker>> localAndRemote() {
        return List.of(new ArrayList<>(), new ArrayList<>());
    }

    /**
     * Returns the ready workers that the type may go to, in any order: those of the own zone, and the others.
     */
    List<List<Worker>> localAndRemote(int typeIndex) {
        return byType.get(typeIndex);
    }

    /** Returns the worker with the id, or null if it was never listed. */
    Worker get(long id) {
        return byId.get(id);
    }

    ZoneStatistics zone(int number) {
        return zones.computeIfAbsent(number, key -> new ZoneStatistics());
    }

    int readyCount() {
        return ready.get(0).size() + ready.get(1).size();
    }

    /**
     * Begins a full list: marks all workers as not ready, and as removed unless they drain, until it names
     * them.
     */
    void beginFullList() {
        for (Worker worker : all) {
            worker.ready = false;
            worker.removed = !worker.draining;
        }
    }

    /** Applies an entry of an endpoint list; it counts for samples after {@link #endList}. */
    Worker put(ListedWorker entry) {
        Worker worker = byId.get(entry.id());
        if (worker == null) {
            worker = add(entry.id());
        } else if (entry.startedAt().micros() > 0 && !entry.startedAt().equals(worker.startedAt)) {
            worker.resetStatistics();
        }
        worker.zone = entry.zone();
        worker.cell = entry.cell();
        worker.kind = entry.kind();
        worker.kindStatistics = kinds.computeIfAbsent(entry.kind(), kind -> new KindStatistics());
        worker.kindStatistics.maxListedWeight =
                Math.max(worker.kindStatistics.maxListedWeight, entry.weight());
        worker.ready = entry.state() == EndpointState.READY;
        boolean isRemoved = entry.state() == EndpointState.REMOVED;
        worker.draining = entry.state() == EndpointState.DRAINING || (isRemoved && worker.draining);
        worker.removed = isRemoved && !worker.draining;
        worker.startedAt = entry.startedAt();
        worker.servesConstrainedTypes = servesConstrainedTypes(worker);
        return worker;
    }

    private Worker add(long id) {
        Worker worker = new Worker(id);
        byId.put(id, worker);
        int index = 0;
        while (index < all.size() && all.get(index).id < id) {
            index++;
        }
        all.add(index, worker);
        return worker;
    }

    private boolean servesConstrainedTypes(Worker worker) {
        return types.stream()
                .anyMatch(type -> type.isPlacementConstrained() && allowsPlacement.test(type, worker));
    }

    /** Sets whether the worker is ready, regardless of the last endpoint list. */
    void setReady(Worker worker, boolean isReady) {
        worker.ready = isReady;
        endList();
    }

    /** Ends an endpoint list: updates the ready workers of each type. */
    void endList() {
        fill(ready, worker -> true);
        for (int i = 0; i < types.size(); i++) {
            TrafficType type = types.get(i);
            if (type.isPlacementConstrained()) {
                fill(byType.get(i), worker -> allowsPlacement.test(type, worker));
            }
        }
    }

    /**
     * Forgets the workers that have not been ready for the longest time, where there are too many and they
     * have no attempt in flight: each worker that a release replaces would otherwise be kept for good.
     *
     * @return the ids of the forgotten workers
     */
    List<Long> forgetAbsent() {
        for (Worker worker : all) {
            if (worker.ready) {
                absent.remove(worker);
            } else {
                absent.add(worker);
            }
        }
        List<Long> forgotten = new ArrayList<>();
        Iterator<Worker> longestFirst = absent.iterator();
        for (int excess = absent.size() - MAX_ABSENT; excess > 0; excess--) {
            Worker worker = longestFirst.next();
            if (worker.attempts.isEmpty() && worker.awaitingProbe.isEmpty()) {
                longestFirst.remove();
                byId.remove(worker.id);
                forgotten.add(worker.id);
            }
        }
        if (!forgotten.isEmpty()) {
            all.removeIf(worker -> !byId.containsKey(worker.id));
        }
        return forgotten;
    }

    private void fill(List<List<Worker>> localAndRemote, Predicate<Worker> filter) {
        localAndRemote.forEach(List::clear);
        for (Worker worker : all) {
            if (worker.ready && filter.test(worker)) {
                localAndRemote.get(worker.zone == ownZone ? 0 : 1).add(worker);
            }
        }
    }
}
