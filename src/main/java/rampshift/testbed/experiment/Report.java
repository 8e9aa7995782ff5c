package rampshift.testbed.experiment;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.verification.Verdict;

/** A self-contained HTML page about an experiment, with figures, differences, rules and charts. */
final class Report {
    private static final int INITIAL_CHARS = 1 << 20;
    private static final double MS_PER_SECOND = 1000;
    private static final String HEAD =
            "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>rampshift experiment</title>"
                    + "<style>body{font:15px sans-serif;max-width:60em;margin:2em auto;padding:0 1em}"
                    + "table{border-collapse:collapse;margin:1em 0}"
                    + "td,th{border:1px solid #bbb;padding:.3em .6em;text-align:right}"
                    + "td:first-child,th:first-child{text-align:left}img{width:100%}"
                    + ".bad{background:#fdd}</style>";

    private final FleetPlan plan;
    private final ExperimentResults results;

    /**
     * Creates a report.
     *
     * @param plan the plan of the experiment, with its faults
     * @param results the results of all runs
     */
    Report(FleetPlan plan, ExperimentResults results) {
        this.plan = plan;
        this.results = results;
    }

    /** Returns the HTML text of the page. */
    String html() throws IOException {
        ReportCharts charts = new ReportCharts(plan, results);
        StringBuilder page = new StringBuilder(INITIAL_CHARS);
        page.append(HEAD).append(introduction()).append(figureTable()).append(ruleTable());
        page.append("<h2>Earnings over time</h2>").append(SvgImage.of(charts.earnings()))
                .append(faultList());
        page.append("<h2>Latency by percentile</h2><p>From the scheduled send time of an attempt.</p>")
                .append(SvgImage.of(charts.latency()));
        page.append("<h2>Load by worker</h2><p>Assignments taken in each second, first sound seed; ")
                .append("the busiest ").append(ReportCharts.MAX_WORKERS).append(" workers.</p>");
        for (String arm : results.arms()) {
            List<RunOutcome> outcomes = results.validOutcomes(arm);
            if (!outcomes.isEmpty()) {
                page.append(SvgImage.of(charts.workerLoad(arm, outcomes.get(0))));
            }
        }
        return page.append("</html>\n").toString();
    }

    /** Escapes the characters of a text that have a meaning in HTML. */
    static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static String format(double value) {
        return Double.isNaN(value) ? "-" : String.format(Locale.ROOT, "%.2f", value);
    }

    private static String format(ConfidenceInterval interval) {
        return format(interval.median()) + " [" + format(interval.low()) + ", " + format(interval.high())
                + "]";
    }

    private static String cell(String content) {
        return "<td>" + content + "</td>";
    }

    private String introduction() {
        return "<h1>Experiment</h1><p>" + results.validSeeds().size()
                + " sound runs of each arm, paired by seed, one after the other on one machine; "
                + "medians, intervals at " + Math.round(100 * results.confidence()) + "% or more.</p>";
    }

    private String figureTable() {
        StringBuilder table = new StringBuilder("<table><tr><th>figure</th>");
        for (String arm : results.arms()) {
            table.append("<th>").append(escape(arm)).append("</th>");
            if (!results.isBaseline(arm)) {
                table.append("<th>difference</th><th></th>");
            }
        }
        table.append("</tr>");
        for (Figure figure : Figure.values()) {
            table.append(figureRow(figure));
        }
        return table.append("</table>").toString();
    }

    private String figureRow(Figure figure) {
        StringBuilder row = new StringBuilder("<tr>").append(cell(escape(figure.label())));
        for (String arm : results.arms()) {
            row.append(cell(format(results.median(arm, figure))));
            if (!results.isBaseline(arm)) {
                ConfidenceInterval difference = results.medianDifference(arm, figure);
                row.append(cell(format(difference))).append(cell(difference.differenceVerdict()));
            }
        }
        return row.append("</tr>").toString();
    }

    private String ruleTable() {
        Set<String> arms = results.arms();
        StringBuilder table = new StringBuilder("<h2>Rules</h2><table><tr><th>rule</th>");
        arms.forEach(arm -> table.append("<th>").append(escape(arm))
                .append(": at stake</th><th>broken</th>"));
        table.append("</tr>");
        List<Verdict.Rule> rules =
                results.outcomes(results.baseline()).values().iterator().next().verdict().rules();
        for (int rule = 0; rule < rules.size(); rule++) {
            table.append("<tr>").append(cell(escape(rules.get(rule).name())));
            for (String arm : arms) {
                table.append(ruleCells(arm, rule));
            }
            table.append("</tr>");
        }
        return table.append("</table>").toString();
    }

    /** Formats how often a rule applied and was broken in all runs of an arm. */
    private String ruleCells(String arm, int rule) {
        long applied = 0;
        long broken = 0;
        for (RunOutcome outcome : results.outcomes(arm).values()) {
            Verdict.Rule result = outcome.verdict().rules().get(rule);
            applied += result.cases();
            broken += result.breaches();
        }
        String brokenCell =
                broken > 0 ? "<td class=\"bad\">" + broken + "</td>" : cell(String.valueOf(broken));
        return cell(String.valueOf(applied)) + brokenCell;
    }

    private String faultList() {
        if (plan.faults().isEmpty()) {
            return "";
        }
        List<String> faults = plan.faults().stream().map(Report::describe).toList();
        return "<p>Troubles, start in red and end in green: " + String.join("; ", faults) + ".</p>";
    }

    private static String describe(FleetPlan.Fault fault) {
        return fault.what().name().toLowerCase(Locale.ROOT).replace('_', ' ') + ' '
                + escape(String.join(" ", fault.names())) + escape(fault.site()) + " at "
                + format(fault.at().millis() / MS_PER_SECOND) + " s for "
                + format(fault.length().millis() / MS_PER_SECOND) + " s";
    }
}
