package dewplank.lab;

import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.AxesChartStyler;
import org.knowm.xchart.style.Styler.LegendLayout;
import org.knowm.xchart.style.Styler.LegendPosition;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** A report that is one HTML file: tables, and charts as SVG inside it. Nothing is loaded from elsewhere. */
public final class Report {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;
    private static final List<String> COLUMNS = List.of(
            "service",
            "worst_class",
            "worst_spell",
            "refused",
            "failed",
            "tries_each",
            "sends_each",
            "p50_ms",
            "p99_ms",
            "violations");

    private Report() {}

    public static void write(List<Result> results, String title, String about, String baseline, Path file)
            throws IOException {
        StringBuilder html = new StringBuilder("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escape(title))
                .append("</title><style>body{font:15px/1.5 sans-serif;max-width:60em;margin:2em auto;"
                        + "padding:0 1em;color:#222}table{border-collapse:collapse;margin:1em 0}"
                        + "td,th{padding:.2em .7em;"
                        + "border-bottom:1px solid #ddd;text-align:right;font-variant-numeric:tabular-nums}"
                        + "td:first-child,"
                        + "th:first-child{text-align:left}.bad{background:#fdd}.best{font-weight:bold}"
                        + "svg{max-width:100%;"
                        + "height:auto}</style></head><body><h1>")
                .append(escape(title))
                .append("</h1><p>")
                .append(escape(about))
                .append("</p><p>")
                .append(results.size())
                .append(" runs. Service: worth answered within its aim, over the worth "
                        + "asked for. Means over seeds, with 95 % intervals (Student's t).</p>");
        html.append(chartOf(results));
        html.append(overview(results));
        if (Comparison.policies(results).size() > 1) {
            html.append("<h2>Against ").append(escape(baseline)).append("</h2>").append(differences(results, baseline));
        }
        for (Map.Entry<String, List<Result>> scenario : byCell(results).entrySet()) {
            html.append("<h2>")
                    .append(escape(scenario.getKey()))
                    .append("</h2>")
                    .append(table(scenario.getValue()));
        }
        html.append("</body></html>\n");
        Files.writeString(file, html.toString());
    }

    private static Map<String, List<Result>> byCell(List<Result> results) {
        Map<String, List<Result>> by = new LinkedHashMap<>();
        results.forEach(
                r -> by.computeIfAbsent(r.cellName(), p -> new ArrayList<>()).add(r));
        return by;
    }

    private static Statistics statistics(List<Result> results, String policy, String figure) {
        return Statistics.of(results.stream()
                .filter(r -> r.policy().equals(policy))
                .map(r -> r.figure(figure))
                .toList());
    }

    private static String overview(List<Result> results) {
        Set<String> policies = Comparison.policies(results);
        StringBuilder html = new StringBuilder("<h2>Service by scenario</h2><table><tr><th>scenario</th>");
        policies.forEach(p -> html.append("<th>").append(escape(p)).append("</th>"));
        html.append("</tr>");
        byCell(results).forEach((cellName, runs) -> {
            html.append("<tr><td>").append(escape(cellName)).append("</td>");
            double best = policies.stream()
                    .filter(p -> !p.equals("oracle"))
                    .mapToDouble(p -> statistics(runs, p, "service").mean())
                    .max()
                    .orElse(0);
            for (String p : policies) {
                Statistics s = statistics(runs, p, "service");
                boolean broken = statistics(runs, p, "violations").max() > 0;
                html.append("<td class=\"")
                        .append(broken ? "bad" : s.mean() >= best ? "best" : "")
                        .append("\">")
                        .append(number(s.mean()))
                        .append(Double.isNaN(s.halfWidth()) ? "" : " &plusmn; " + number(s.halfWidth()))
                        .append("</td>");
            }
            html.append("</tr>");
        });
        return html.append("</table><p>Bold: the best that does not see the true state. Red: a rule was broken.</p>")
                .toString();
    }

    private static String differences(List<Result> results, String baseline) {
        StringBuilder html =
                new StringBuilder("<table><tr><th>scenario</th><th>policy</th><th>service</th><th>less the "
                        + "baseline's</th><th>&plusmn;</th><th>pairs</th></tr>");
        for (Comparison.Row row : Comparison.withBaseline(results, baseline, "service")) {
            html.append("<tr><td>")
                    .append(escape(row.cell()))
                    .append("</td><td>")
                    .append(escape(row.secondPolicy()))
                    .append("</td><td>")
                    .append(number(row.secondFigures().mean()))
                    .append("</td><td class=\"")
                    .append(row.difference().differs() ? "best" : "")
                    .append("\">")
                    .append(signed(row.difference().mean()))
                    .append("</td><td>")
                    .append(number(row.difference().halfWidth()))
                    .append("</td><td>")
                    .append(row.difference().count())
                    .append("</td></tr>");
        }
        return html.append("</table>").toString();
    }

    private static String table(List<Result> runs) {
        StringBuilder html = new StringBuilder("<table><tr><th>policy</th>");
        COLUMNS.forEach(c -> html.append("<th>").append(c).append("</th>"));
        html.append("</tr>");
        for (String p : Comparison.policies(runs)) {
            html.append("<tr><td>").append(escape(p)).append("</td>");
            for (String c : COLUMNS) {
                Statistics s = statistics(runs, p, c);
                html.append("<td class=\"")
                        .append(c.equals("violations") && s.max() > 0 ? "bad" : "")
                        .append("\">")
                        .append(number(s.mean()))
                        .append("</td>");
            }
            html.append("</tr>");
        }
        return html.append("</table>").toString();
    }

    // ---- charts ---------------------------------------------------------------------------------------

    private static String chartOf(List<Result> results) throws IOException {
        Set<String> parameters = new LinkedHashSet<>();
        results.forEach(r -> parameters.add(r.parameters()));
        boolean oneNumber = parameters.size() > 1 && parameters.stream().allMatch(p -> p.matches("[a-z_.]+=[0-9.]+"));
        StringBuilder html = new StringBuilder();
        if (!oneNumber) {
            return html.append(svg(bars(results))).toString();
        }
        Set<String> scenarios = new LinkedHashSet<>();
        results.forEach(r -> scenarios.add(r.scenario()));
        for (String s : scenarios) {
            html.append(svg(
                    lines(results.stream().filter(r -> r.scenario().equals(s)).toList(), s)));
        }
        return html.toString();
    }

    private static CategoryChart bars(List<Result> results) {
        Map<String, List<Result>> cells = byCell(results);
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("Service by scenario")
                .yAxisTitle("service")
                .build();
        style(chart.getStyler());
        chart.getStyler().setAvailableSpaceFill(0.8).setXAxisLabelRotation(45);
        for (String p : Comparison.policies(results)) {
            List<Double> means = new ArrayList<>();
            List<Double> halfWidths = new ArrayList<>();
            cells.values().forEach(runs -> {
                Statistics s = statistics(runs, p, "service");
                means.add(Double.isNaN(s.mean()) ? 0 : s.mean());
                halfWidths.add(Double.isNaN(s.halfWidth()) ? 0 : s.halfWidth());
            });
            chart.addSeries(p, new ArrayList<>(cells.keySet()), means, halfWidths);
        }
        return chart;
    }

    private static void style(AxesChartStyler styler) {
        styler.setYAxisMin(0.0)
                .setYAxisMax(1.0)
                .setPlotBorderVisible(false)
                .setChartBackgroundColor(Color.WHITE)
                .setLegendPosition(LegendPosition.OutsideS)
                .setLegendLayout(LegendLayout.Horizontal)
                .setLegendBorderColor(Color.WHITE);
    }

    private static XYChart lines(List<Result> results, String scenario) {
        String parameter = results.get(0).parameters().replaceAll("=.*", "");
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(scenario)
                .xAxisTitle(parameter)
                .yAxisTitle("service")
                .build();
        style(chart.getStyler());
        for (String p : Comparison.policies(results)) {
            Map<Double, List<Result>> by = new TreeMap<>();
            results.stream().filter(r -> r.policy().equals(p)).forEach(r -> by.computeIfAbsent(
                            Double.parseDouble(r.parameters().replaceAll(".*=", "")), v -> new ArrayList<>())
                    .add(r));
            List<Double> means = new ArrayList<>();
            List<Double> halfWidths = new ArrayList<>();
            by.values().forEach(runs -> {
                Statistics s = statistics(runs, p, "service");
                means.add(s.mean());
                halfWidths.add(Double.isNaN(s.halfWidth()) ? 0 : s.halfWidth());
            });
            chart.addSeries(p, new ArrayList<>(by.keySet()), means, halfWidths);
        }
        return chart;
    }

    /** Service second by second, for one run. */
    static XYChart timeLine(Service service, String title) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("second")
                .yAxisTitle("service")
                .build();
        style(chart.getStyler());
        chart.getStyler().setLegendVisible(false);
        List<Double> secondNumbers = new ArrayList<>();
        List<Double> ratios = new ArrayList<>();
        for (int i = 0; i < service.seconds().size(); i++) {
            double[] s = service.seconds().get(i);
            if (s[0] > 0) {
                secondNumbers.add((double) i);
                ratios.add(s[1] / s[0]);
            }
        }
        if (!secondNumbers.isEmpty()) {
            chart.addSeries("service", secondNumbers, ratios).setMarker(SeriesMarkers.NONE);
        }
        return chart;
    }

    static String svg(Chart<?, ?> chart) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsFormat.SVG);
        String svg = out.toString(StandardCharsets.UTF_8);
        return svg.substring(svg.indexOf("<svg")); // inside HTML there is no XML declaration
    }

    private static String number(double value) {
        if (Double.isNaN(value)) {
            return "";
        }
        return String.format(
                Locale.ROOT, Math.abs(value) >= 100 ? "%.0f" : Math.abs(value) >= 10 ? "%.1f" : "%.3f", value);
    }

    private static String signed(double value) {
        return (value > 0 ? "+" : "") + number(value);
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
