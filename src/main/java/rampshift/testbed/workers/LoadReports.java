package rampshift.testbed.workers;

import java.util.ArrayDeque;
import java.util.Locale;
import java.util.Optional;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;
import rampshift.time.Span;

/** The load reports of one worker: measured at intervals, and sent with a delay where a fault says so. */
final class LoadReports {
    private static final int REPORT_CHARS = 64;

    /** A report, as a JSON object, and when it was measured. */
    private record Report(Moment measuredAt, String json) {}

    private final FleetPlan.Reports settings;
    /** The report to send first, then later ones that are still delayed. */
    private final ArrayDeque<Report> reports = new ArrayDeque<>();
    private Span delay = Span.ZERO;

    LoadReports(FleetPlan.Reports settings) {
        this.settings = settings;
    }

    /** Sets how long after its measurement a report is sent. */
    void setDelay(Span delay) {
        this.delay = delay;
    }

    /**
     * The latest report that may be sent now, as a JSON object; it is measured if the last one is old.
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

    /** The name of a figure by which the dispatchers' settings know it. */
    private static String wireName(FleetPlan.Reports.Figure figure) {
        return switch (figure) {
            case FREE_SLOTS -> "x0";
            case FREE_MEMORY -> "x1";
            case WAITING -> "queue";
            case HELD -> "inflight";
        };
    }
}
