package rampshift.testbed.workers;

import java.util.ArrayDeque;
import java.util.Locale;
import java.util.Optional;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;
import rampshift.time.Span;

/** The load reports of one worker. They are refreshed at an interval; a fault may delay their sending. */
final class LoadReports {
    private static final int REPORT_CHARS = 64;

    /** A report, as a JSON object, and the time of its measurement. */
    private record Report(Moment measuredAt, String json) {}

    private final FleetPlan.Reports settings;
    /** The report to send now, then later ones that are still delayed. */
    private final ArrayDeque<Report> reports = new ArrayDeque<>();
    private Span delay = Span.ZERO;

    LoadReports(FleetPlan.Reports settings) {
        this.settings = settings;
    }

    /** Sets how long after its measurement a report replaces the previous one. The first is never delayed. */
    void setDelay(Span delay) {
        this.delay = delay;
    }

    /**
     * Returns the latest report that may be sent now, as a JSON object. Measures a new report first if the
     * last one is older than the refresh interval.
     *
     * @return empty if workers send no reports
     */
    Optional<String> current(WorkerModel model, Moment now) {
        if (settings.how() == FleetPlan.Reports.How.NONE || settings.figures().isEmpty()) {
            return Optional.empty();
        }
        if (reports.isEmpty() || !now.before(reports.peekLast().measuredAt().plus(settings.refresh()))) {
            reports.add(new Report(now, measure(model)));
        }
        while (reports.size() > 1) {
            Report first = reports.poll();
            if (now.before(reports.peek().measuredAt().plus(delay))) {
                reports.addFirst(first);
                break;
            }
        }
        return Optional.of(reports.peek().json());
    }

    private String measure(WorkerModel model) {
        StringBuilder json = new StringBuilder(REPORT_CHARS);
        String separator = "{\"";
        for (FleetPlan.Reports.Figure figure : settings.figures()) {
            json.append(separator).append(wireName(figure)).append("\":").append(value(figure, model));
            separator = ",\"";
        }
        return json.append('}').toString();
    }

    private static String value(FleetPlan.Reports.Figure figure, WorkerModel model) {
        return switch (figure) {
            case FREE_SLOTS -> String.format(Locale.ROOT, "%.2f", model.freeSlots());
            case WAITING -> String.valueOf(model.waitingJobs());
            case HELD -> String.valueOf(model.heldJobs());
            case FREE_MEMORY -> String.format(Locale.ROOT, "%.2f", model.freeMemory());
        };
    }

    /** Returns the name of a figure in the settings of dispatchers. */
    private static String wireName(FleetPlan.Reports.Figure figure) {
        return switch (figure) {
            case FREE_SLOTS -> "x0";
            case FREE_MEMORY -> "x1";
            case WAITING -> "queue";
            case HELD -> "inflight";
        };
    }
}
