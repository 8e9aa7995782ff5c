package rampshift.decide;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rampshift.time.Moment;

/** The workers that this dispatcher's own lists have named. */
final class Roster {
    /** All of them, in the order of their ids. */
    final ArrayList<Worker> all = new ArrayList<>();
    /** The ready ones: those of the own zone, and those elsewhere. */
    final List<ArrayList<Worker>> sides = List.of(new ArrayList<>(), new ArrayList<>());
    private final Map<Long, Worker> byId = new HashMap<>();   // looked up, never walked
    private final Map<Integer, Kin> kins = new HashMap<>();   // looked up, never walked
    private final Map<Integer, Zone> zones = new HashMap<>();   // looked up, never walked
    private final int ownZone;

    Roster(int ownZone) {
        this.ownZone = ownZone;
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

    Worker put(long id, int zone, int cell, int kind, Choice.Listed as, Moment bornAt) {
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
        w.kin = kins.computeIfAbsent(kind, k -> new Kin());
        w.ready = as == Choice.Listed.READY;
        w.drains = as == Choice.Listed.DRAINING || as == Choice.Listed.GONE && w.drains;
        w.gone = as == Choice.Listed.GONE && !w.drains;
        w.bornAt = bornAt;
        return w;
    }

    Zone zone(int number) {
        return zones.computeIfAbsent(number, n -> new Zone());
    }

    int ready() {
        return sides.get(0).size() + sides.get(1).size();
    }

    /** It is up or not, whatever the last list said. */
    void ready(Worker w, boolean ready) {
        w.ready = ready;
        end();
    }

    void end() {
        sides.get(0).clear();
        sides.get(1).clear();
        for (Worker w : all) {
            if (w.ready) {
                sides.get(w.zone == ownZone ? 0 : 1).add(w);
            }
        }
    }
}
