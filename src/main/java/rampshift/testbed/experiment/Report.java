package rampshift.testbed.experiment;

import de.erichseifert.vectorgraphics2d.Document;
import de.erichseifert.vectorgraphics2d.Processors;
import de.erichseifert.vectorgraphics2d.VectorGraphics2D;
import de.erichseifert.vectorgraphics2d.util.PageSize;
import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.verification.Verdict;

/** An experiment as one page that needs nothing beside it: figures, differences, rules, and plots. */
final class Report {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 340;
    private static final int MOST_LINES = 16;
    private static final Color BEGINS = new Color(190, 40, 40);
    private static final Color ENDS = new Color(60, 140, 60);
    private static final double[] PERCENTILES =
            {1, 5, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.8, 99.9, 99.95, 99.99};

    private final Experiment experiment;
    private final FleetPlan plan;
    private final List<Long> seeds;

    Report(Experiment experiment, FleetPlan plan, List<Long> seeds) {
        this.experiment = experiment;
        this.plan = plan;
        this.seeds = seeds;
        System.setProperty("java.awt.headless", "true");
    }

    String html() throws IOException {
        StringBuilder page = new StringBuilder(1 << 20);
        page.append(
                "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>rampshift experiment</title><style>")
                .append("body{font:15px sans-serif;max-width:60em;margin:2em auto;padding:0 1em}table{border-collapse:")
                .append("collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:.3em .6em;text-align:right}")
                .append("td:first-child,th:first-child{text-align:left}img{width:100%}.bad{background:#fdd}</style>")
                .append("<h1>Experiment</h1><p>").append(seeds.size())
                .append(" sound runs of each arm, paired by seed, ")
                .append("one after the other on one machine; medians, intervals at ")
                .append(Math.round(100 * plan.trials().confidence())).append("% or more.</p>");
        figures(page);
        rules(page);
        page.append("<h2>Earnings over time</h2>").append(earnings());
        page.append("<h2>Latency by percentile</h2><p>From when a task was due to be sent.</p>")
                .append(latency());
        page.append(
                "<h2>Load by worker</h2><p>Assignments taken in each second, first sound seed; the busiest ")
                .append(MOST_LINES).append(" workers.</p>");
        for (String arm : experiment.runs.keySet()) {
            page.append(load(arm));
        }
        return page.append("</html>\n").toString();
    }

    private static String plain(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static String number(double value) {
        return Double.isNaN(value) ? "-" : String.format(Locale.ROOT, "%.2f", value);
    }

    private void figures(StringBuilder page) {
        page.append("<table><tr><th>figure</th>");
        for (String arm : experiment.runs.keySet()) {
            page.append("<th>").append(plain(arm)).append("</th>");
            if (!arm.equals(experiment.first())) {
                page.append("<th>difference</th><th></th>");
            }
        }
        page.append("</tr>");
        for (String figure : experiment.figureNames()) {
            page.append("<tr><td>").append(plain(figure)).append("</td>");
            for (String arm : experiment.runs.keySet()) {
                page.append("<td>").append(interval(Comparison.of(experiment.figures(arm, figure, seeds),
                        plan.trials().confidence()))).append("</td>");
                if (!arm.equals(experiment.first())) {
                    Comparison.Interval d = experiment.difference(arm, figure, seeds);
                    page.append("<td>").append(interval(d)).append("</td><td>").append(Experiment.verdict(d))
                            .append("</td>");
                }
            }
            page.append("</tr>");
        }
        page.append("</table>");
    }

    private static String interval(Comparison.Interval i) {
        return number(i.median()) + " [" + number(i.low()) + ", " + number(i.high()) + "]";
    }

    private void rules(StringBuilder page) {
        page.append("<h2>Rules</h2><table><tr><th>rule</th>");
        experiment.runs.keySet()
                .forEach(a -> page.append("<th>").append(plain(a)).append(": at stake</th><th>broken</th>"));
        page.append("</tr>");
        int rules = experiment.runs.get(experiment.first()).values().iterator().next().verdict.rules().size();
        for (int r = 0; r < rules; r++) {
            StringBuilder row = new StringBuilder();
            String name = "";
            for (Map<Long, RunOutcome> bySeed : experiment.runs.values()) {
                long stake = 0;
                long broken = 0;
                for (RunOutcome o : bySeed.values()) {
                    Verdict.Rule rule = o.verdict.rules().get(r);
                    name = rule.name();
                    stake += rule.atStake();
                    broken += rule.broken();
                }
                row.append("<td>").append(stake).append(broken > 0 ? "</td><td class=\"bad\">" : "</td><td>")
                        .append(broken).append("</td>");
            }
            page.append("<tr><td>").append(plain(name)).append("</td>").append(row).append("</tr>");
        }
        page.append("</table>");
    }

    // ---- plots

    private static XYChart chart(String title, String x, String y) {
        XYChart chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).title(title).xAxisTitle(x)
                .yAxisTitle(y).build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE)
                .setChartBackgroundColor(Color.WHITE);
        chart.getStyler().setPlotGridLinesColor(new Color(225, 225, 225));
        return chart;
    }

    private static String image(XYChart chart) throws IOException {
        VectorGraphics2D canvas = new VectorGraphics2D();
        chart.paint(canvas, WIDTH, HEIGHT);
        Document svg =
                Processors.get("svg").getDocument(canvas.getCommands(), new PageSize(0, 0, WIDTH, HEIGHT));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        svg.writeTo(bytes);
        // As pictures of their own: within one page the names of their clips would collide.
        return "<img alt=\"" + plain(chart.getTitle()) + "\" src=\"data:image/svg+xml;base64,"
                + Base64.getEncoder().encodeToString(bytes.toByteArray()) + "\">";
    }

    private String earnings() throws IOException {
        XYChart chart = chart("earned of what was asked, each second, all runs together", "s", "%");
        for (Map.Entry<String, Map<Long, RunOutcome>> arm : experiment.runs.entrySet()) {
            int seconds = (int) Math.ceil(plan.length().millis() / 1000);
            double[] asked = new double[seconds];
            double[] earned = new double[seconds];
            for (long seed : seeds) {
                List<double[]> series = arm.getValue().get(seed).series;
                for (int i = 0; i < Math.min(seconds, series.size()); i++) {
                    asked[i] += series.get(i)[0];
                    earned[i] += series.get(i)[1];
                }
            }
            double[] x = new double[seconds];
            double[] y = new double[seconds];
            for (int i = 0; i < seconds; i++) {
                x[i] = i + 0.5;
                y[i] = asked[i] == 0 ? 100 : 100 * earned[i] / asked[i];
            }
            if (seconds > 0) {
                chart.addSeries(arm.getKey(), x, y).setMarker(SeriesMarkers.NONE);
            }
        }
        for (FleetPlan.Trouble t : plan.troubles()) {
            mark(chart, t.at().millis() / 1000, 100, true);
            mark(chart, Math.min(plan.length().millis(), t.at().plus(t.length()).millis()) / 1000, 100,
                    false);
        }
        StringBuilder words = new StringBuilder();
        for (FleetPlan.Trouble t : plan.troubles()) {
            words.append(words.length() == 0 ? "<p>Troubles, begin red and end green: " : "; ")
                    .append(t.what().name().toLowerCase(Locale.ROOT).replace('_', ' ')).append(' ')
                    .append(plain(String.join(" ", t.names()))).append(plain(t.site())).append(" at ")
                    .append(number(t.at().millis() / 1000)).append(" s for ")
                    .append(number(t.length().millis() / 1000)).append(" s");
        }
        return image(chart) + (words.length() == 0 ? "" : words + ".</p>");
    }

    /** An upright line as high as the plot is. */
    private static void mark(XYChart chart, double second, double high, boolean begins) {
        XYSeries line = chart.addSeries("mark " + chart.getSeriesMap().size(), new double[]{second, second},
                new double[]{0, high});
        line.setMarker(SeriesMarkers.NONE).setLineColor(begins ? BEGINS : ENDS).setLineWidth(1)
                .setShowInLegend(false);
    }

    /** The x axis counts nines: 0 is 0%, 1 is 90%, 2 is 99%. */
    private String latency() throws IOException {
        XYChart chart = chart("finished tasks", "percentile, as nines: 1 is 90%, 2 is 99%, 3 is 99.9%", "ms");
        chart.getStyler().setYAxisLogarithmic(true);
        for (Map.Entry<String, Map<Long, RunOutcome>> arm : experiment.runs.entrySet()) {
            Histogram all = new Histogram(120_000_000, 3);
            seeds.forEach(s -> all.add(arm.getValue().get(s).all("latency")));
            if (all.getTotalCount() == 0) {
                continue;
            }
            List<Double> x = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            for (double p : PERCENTILES) {
                x.add(-Math.log10(1 - p / 100));
                y.add(Math.max(0.001, all.getValueAtPercentile(p) / 1000.0));
            }
            chart.addSeries(arm.getKey(), x, y).setMarker(SeriesMarkers.NONE);
        }
        return image(chart);
    }

    private String load(String arm) throws IOException {
        if (seeds.isEmpty()) {
            return "";
        }
        RunOutcome o = experiment.runs.get(arm).get(seeds.get(0));
        Map<String, long[]> busiest = new LinkedHashMap<>();
        o.verdict.taken().entrySet().stream()
                .sorted((a, b) -> Long.compare(Arrays.stream(b.getValue()).sum(),
                        Arrays.stream(a.getValue()).sum()))
                .limit(MOST_LINES).forEach(e -> busiest.put(e.getKey(), e.getValue()));
        XYChart chart = chart(arm, "s", "assignments/s");
        double high = 0;
        for (Map.Entry<String, long[]> worker : busiest.entrySet()) {
            double[] x = new double[worker.getValue().length];
            double[] y = new double[x.length];
            for (int i = 0; i < x.length; i++) {
                x[i] = i + 0.5 - o.zeroSecond;
                y[i] = worker.getValue()[i];
            }
            chart.addSeries(worker.getKey(), x, y).setMarker(SeriesMarkers.NONE);
            high = Math.max(high, Arrays.stream(y).max().orElse(0));
        }
        for (Verdict.Mark m : o.verdict.marks()) {
            mark(chart, m.second() - o.zeroSecond, high, m.text().contains("begins")
                    || m.text().startsWith("killed") || m.text().startsWith("stopped"));
        }
        return image(chart);
    }
}
