package rampshift.policy;

import rampshift.time.Moment;
import rampshift.time.Span;

/** The state that the parts of the policy share: the time, workers, tasks, and statistics of both. */
final class PolicyContext {
    final Settings settings;
    final SeededRandom random;
    final WorkerTable workers;
    final IdleConnections connections;
    final RunTimes runs;
    final TaskHistory history = new TaskHistory();
    final FleetLoad load = new FleetLoad();
    final TaskQueue tasks = new TaskQueue();
    private Moment now;

    PolicyContext(Settings settings, Moment now) {
        this.settings = settings;
        this.now = now;
        random = new SeededRandom(settings.seed);
        workers = new WorkerTable(settings.zone, settings.types, Eligibility::allowsPlacement);
        runs = new RunTimes(settings.types);
        connections = new IdleConnections(settings);
    }

    /** Sets the time of the event that is being handled. */
    void setNow(Moment moment) {
        now = moment;
    }

    Moment now() {
        return now;
    }

    /** Returns the present time plus the span. */
    Moment after(Span span) {
        return now.plus(span);
    }

    /** Returns how long ago the moment was. */
    Span since(Moment earlier) {
        return now.since(earlier);
    }

    boolean isOwnZone(Worker worker) {
        return worker.zone == settings.zone;
    }

    ZoneStatistics zoneOf(Worker worker) {
        return workers.zone(worker.zone);
    }
}
