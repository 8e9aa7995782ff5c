package rampshift.testbed.experiment;

import java.awt.Color;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.verification.Verdict;

/** Creates the charts of a report. */
final class ReportCharts {
    /** The maximum number of workers in a chart of worker load. */
    static final int MAX_WORKERS = 16;

    private static final int WIDTH = 900;
    private static final int HEIGHT = 340;
    private static final Color FAULT_BEGIN_COLOR = new Color(190, 40, 40);
    private static final Color FAULT_END_COLOR = new Color(60, 140, 60);
    private static final Color GRID_COLOR = new Color(225, 225, 225);
    private static final double MS_PER_SECOND = 1000;
    private static final double MICROS_PER_MS = 1000;
    /** Smaller latencies are drawn with this value, since a logarithmic axis has no 0. */
    private static final double MIN_LATENCY_MS = 0.001;
    private static final double SECOND_MIDPOINT = 0.5;
    private static final double MAX_PERCENT = 100;
    private static final double[] PERCENTILES =
            {1, 5, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.8, 99.9, 99.95, 99.99};

    private final FleetPlan plan;
    private final ExperimentResults results;

    /**
     * Prepares the charts.
     *
     * @param plan the plan of the experiment, with its faults
     * @param results the results of all runs
     */
    ReportCharts(FleetPlan plan, ExperimentResults results) {
        this.plan = plan;
        this.results = results;
        System.setProperty("java.awt.headless", "true");
    }

    /** Charts the earned share of the possible earnings by second and arm, with the plan's faults. */
    XYChart earnings() {
        XYChart chart = createChart("earned share of possible earnings per second, all runs", "s", "%");
        int seconds = (int) Math.ceil(plan.length().millis() / MS_PER_SECOND);
        if (seconds > 0) {
            results.arms().forEach(arm -> addEarnings(chart, arm, seconds));
        }
        for (FleetPlan.Fault fault : plan.faults()) {
            double endMs = Math.min(plan.length().millis(), fault.at().plus(fault.length()).millis());
            addFaultMark(chart, fault.at().millis() / MS_PER_SECOND, MAX_PERCENT, FAULT_BEGIN_COLOR);
            addFaultMark(chart, endMs / MS_PER_SECOND, MAX_PERCENT, FAULT_END_COLOR);
        }
        return chart;
    }

    private void addEarnings(XYChart chart, String arm, int seconds) {
        EarningsInSecond[] sums = new EarningsInSecond[seconds];
        Arrays.fill(sums, EarningsInSecond.NONE);
        for (RunOutcome outcome : results.validOutcomes(arm)) {
            List<EarningsInSecond> earnings = outcome.load().earningsBySecond();
            for (int second = 0; second < Math.min(seconds, earnings.size()); second++) {
                sums[second] = sums[second].plus(earnings.get(second));
            }
        }
        double[] times = new double[seconds];
        double[] percents = new double[seconds];
        for (int second = 0; second < seconds; second++) {
            double possible = sums[second].possible();
            times[second] = second + SECOND_MIDPOINT;
            percents[second] = possible == 0 ? MAX_PERCENT : MAX_PERCENT * sums[second].earned() / possible;
        }
        chart.addSeries(arm, times, percents).setMarker(SeriesMarkers.NONE);
    }

    /** Charts latency by percentile and arm. The x axis counts nines: 0 is 0%, 1 is 90%, 2 is 99%. */
    XYChart latency() {
        XYChart chart = createChart("finished tasks",
                "percentile, as nines: 1 is 90%, 2 is 99%, 3 is 99.9%", "ms");
        chart.getStyler().setYAxisLogarithmic(true);
        results.arms().forEach(arm -> addLatency(chart, arm));
        return chart;
    }

    private void addLatency(XYChart chart, String arm) {
        Histogram latency = LoadResults.emptyHistogram();
        results.validOutcomes(arm)
                .forEach(outcome -> latency.add(outcome.load().totalHistogram(LatencyKind.LATENCY)));
        if (latency.getTotalCount() == 0) {
            return;
        }
        List<Double> nines = new ArrayList<>();
        List<Double> latenciesMs = new ArrayList<>();
        for (double percentile : PERCENTILES) {
            nines.add(-Math.log10(1 - percentile / 100));
            latenciesMs.add(
                    Math.max(MIN_LATENCY_MS, latency.getValueAtPercentile(percentile) / MICROS_PER_MS));
        }
        chart.addSeries(arm, nines, latenciesMs).setMarker(SeriesMarkers.NONE);
    }

    /** Charts the assignments to the busiest workers by second of a run, with the faults that occurred. */
    XYChart workerLoad(String arm, RunOutcome outcome) {
        XYChart chart = createChart(arm, "s", "assignments/s");
        double maxAssignments = 0;
        for (Map.Entry<String, long[]> worker : busiestWorkers(outcome.verdict())) {
            double[] assignments = Arrays.stream(worker.getValue()).asDoubleStream().toArray();
            double[] times = new double[assignments.length];
            for (int second = 0; second < times.length; second++) {
                times[second] = second + SECOND_MIDPOINT - outcome.startSecond();
            }
            chart.addSeries(worker.getKey(), times, assignments).setMarker(SeriesMarkers.NONE);
            maxAssignments = Math.max(maxAssignments, Arrays.stream(assignments).max().orElse(0));
        }
        for (Verdict.Mark mark : outcome.verdict().marks()) {
            Color color = isFaultBegin(mark.text()) ? FAULT_BEGIN_COLOR : FAULT_END_COLOR;
            addFaultMark(chart, mark.second() - outcome.startSecond(), maxAssignments, color);
        }
        return chart;
    }

    private static List<Map.Entry<String, long[]>> busiestWorkers(Verdict verdict) {
        return verdict.attemptsPerSecond().entrySet().stream()
                .sorted((first, second) -> Long.compare(total(second), total(first))).limit(MAX_WORKERS)
                .toList();
    }

    private static long total(Map.Entry<String, long[]> worker) {
        return Arrays.stream(worker.getValue()).sum();
    }

    private static boolean isFaultBegin(String mark) {
        return mark.contains("begins") || mark.startsWith(DispatcherEvent.KILLED.word())
                || mark.startsWith(DispatcherEvent.STOPPED.word());
    }

    private static XYChart createChart(String title, String xTitle, String yTitle) {
        XYChart chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).title(title).xAxisTitle(xTitle)
                .yAxisTitle(yTitle).build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE)
                .setChartBackgroundColor(Color.WHITE);
        chart.getStyler().setPlotGridLinesColor(GRID_COLOR);
        return chart;
    }

    /** Adds a vertical line. */
    private static void addFaultMark(XYChart chart, double second, double height, Color color) {
        XYSeries line = chart.addSeries("mark " + chart.getSeriesMap().size(), new double[]{second, second},
                new double[]{0, height});
        line.setMarker(SeriesMarkers.NONE).setLineColor(color).setLineWidth(1).setShowInLegend(false);
    }
}
