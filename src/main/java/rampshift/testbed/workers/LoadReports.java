package rampshift.testbed.workers;

import java.util.ArrayDeque;
import java.util.Locale;
import rampshift.testbed.plan.FleetPlan;
import rampshift.time.Moment;
import rampshift.time.Span;

/** What a worker tells of its load: figures taken now and then, and told late where a trouble says so. */
final class LoadReports {
    private record Taken(Moment when, String text) {}

    private final FleetPlan.Reports plan;
    private final ArrayDeque<Taken> taken = new ArrayDeque<>();
    private Span late = Span.ZERO;

    LoadReports(FleetPlan.Reports plan) {
        this.plan = plan;
    }

    /** Reports come so much later than usual. */
    void late(Span span) {
        late = span;
    }

    /** The newest that may be told now, as a JSON object; null where workers tell nothing. */
    String now(WorkerModel machine, Moment now) {
        if (plan.how() == FleetPlan.Reports.How.NONE || plan.figures().isEmpty()) {
            return null;
        }
        if (taken.isEmpty() || !now.before(taken.peekLast().when().plus(plan.refresh()))) {
            taken.add(new Taken(now, text(machine)));
        }
        while (taken.size() > 1) {
            Taken first = taken.poll();
            if (now.before(taken.peek().when().plus(late))) {
                taken.addFirst(first);
                break;
            }
        }
        return taken.peek().text();
    }

    private String text(WorkerModel machine) {
        StringBuilder text = new StringBuilder(64);
        for (FleetPlan.Reports.Figure figure : plan.figures()) {
            text.append(text.length() == 0 ? "{\"" : ",\"");
            text.append(wireName(figure)).append("\":").append(switch (figure) {
                case FREE_SLOTS -> String.format(Locale.ROOT, "%.2f", machine.freeSlots());
                case WAITING -> machine.waiting();
                case HELD -> machine.held();
                case FREE_MEMORY -> String.format(Locale.ROOT, "%.2f", machine.freeMemory());
            });
        }
        return text.append('}').toString();
    }

    /** As the settings tell dispatchers to read it. */
    static String wireName(FleetPlan.Reports.Figure figure) {
        return switch (figure) {
            case FREE_SLOTS -> "x0";
            case FREE_MEMORY -> "x1";
            case WAITING -> "queue";
            case HELD -> "inflight";
        };
    }
}
