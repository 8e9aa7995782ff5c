package rampshift.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import rampshift.time.Moment;

/** The workers that this dispatcher's own lists have named. */
final class WorkerTable {
    /** All of them, in the order of their ids. */
    final ArrayList<Worker> all = new ArrayList<>();
    /** The ready ones. */
    private final List<ArrayList<Worker>> ready = sides();
    /** By traffic type those that it may go to; types that may go to all of them share these. */
    private final List<List<ArrayList<Worker>>> open = new ArrayList<>();
    private final List<TrafficType> types;
    private final Map<Long, Worker> byId = new HashMap<>();   // looked up, never walked
    private final Map<Integer, KindStatistics> kins = new HashMap<>();   // looked up, never walked
    private final Map<Integer, ZoneStatistics> zones = new HashMap<>();   // looked up, never walked
    private final int ownZone;
    private final BiPredicate<TrafficType, Worker> allows;

    WorkerTable(int ownZone, List<TrafficType> types, BiPredicate<TrafficType, Worker> allows) {
        this.ownZone = ownZone;
        this.allows = allows;
        this.types = types;
        types.forEach(t -> open.add(t.bound() ? sides() : ready));
    }

    private static List<ArrayList<Worker>> sides() {
        return List.of(new ArrayList<>(), new ArrayList<>());
    }

    /** The ready ones that the type may go to: those of the own zone, and those elsewhere. In any order. */
    List<ArrayList<Worker>> sides(int type) {
        return open.get(type);
    }

    Worker get(long id) {
        return byId.get(id);
    }

    /** A whole list follows: what it does not name is gone. */
    void beginWhole() {
        for (Worker w : all) {
            w.ready = false;
            w.gone = !w.drains;
        }
    }

    Worker put(long id, int zone, int cell, int kind, EndpointState as, Moment bornAt) {
        Worker w = byId.get(id);
        if (w == null) {
            w = new Worker(id);
            byId.put(id, w);
            int place = 0;
            while (place < all.size() && all.get(place).id < id) {
                place++;
            }
            all.add(place, w);
        } else if (bornAt.micros() > 0 && !bornAt.equals(w.bornAt)) {
            w.forget();
        }
        w.zone = zone;
        w.cell = cell;
        w.kind = kind;
        w.kin = kins.computeIfAbsent(kind, k -> new KindStatistics());
        w.ready = as == EndpointState.READY;
        w.drains = as == EndpointState.DRAINING || as == EndpointState.GONE && w.drains;
        w.gone = as == EndpointState.GONE && !w.drains;
        w.bornAt = bornAt;
        return w;
    }

    ZoneStatistics zone(int number) {
        return zones.computeIfAbsent(number, n -> new ZoneStatistics());
    }

    int ready() {
        return ready.get(0).size() + ready.get(1).size();
    }

    /** It is up or not, whatever the last list said. */
    void ready(Worker w, boolean ready) {
        w.ready = ready;
        end();
    }

    void end() {
        fill(ready, w -> true);
        for (int i = 0; i < types.size(); i++) {
            TrafficType type = types.get(i);
            if (type.bound()) {
                fill(open.get(i), w -> allows.test(type, w));
            }
        }
    }

    private void fill(List<ArrayList<Worker>> sides, Predicate<Worker> taken) {
        sides.forEach(ArrayList::clear);
        for (Worker w : all) {
            if (w.ready && taken.test(w)) {
                sides.get(w.zone == ownZone ? 0 : 1).add(w);
            }
        }
    }
}
