package dewplank.lab;

import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
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

/** Creates the charts of a report as SVG that can be embedded in HTML. */
final class ReportCharts {
    private static final int WIDTH_PX = 900;
    private static final int HEIGHT_PX = 420;

    /** Means over seeds and half widths of their confidence intervals, by x position; an undefined half width is 0. */
    private static final class Series {
        final List<Double> means = new ArrayList<>();
        final List<Double> halfWidths = new ArrayList<>();

        void add(double mean, double halfWidth) {
            means.add(mean);
            halfWidths.add(Double.isNaN(halfWidth) ? 0 : halfWidth);
        }
    }

    private ReportCharts() {}

    /**
     * A line chart over the parameter for each scenario if a single number was varied; otherwise a bar chart by cell.
     */
    static String svg(List<Result> results) throws IOException {
        if (!variesOneNumber(results)) {
            return svg(bars(results));
        }
        Set<String> scenarios = new LinkedHashSet<>();
        results.forEach(result -> scenarios.add(result.scenario()));
        StringBuilder html = new StringBuilder();
        for (String scenario : scenarios) {
            html.append(svg(lines(
                    results.stream()
                            .filter(result -> result.scenario().equals(scenario))
                            .toList(),
                    scenario)));
        }
        return html.toString();
    }

    private static boolean variesOneNumber(List<Result> results) {
        Set<String> parameters = new LinkedHashSet<>();
        results.forEach(result -> parameters.add(result.parameters()));
        return parameters.size() > 1
                && parameters.stream().allMatch(parameter -> parameter.matches("[a-z_.]+=[0-9.]+"));
    }

    private static CategoryChart bars(List<Result> results) {
        Map<String, List<Result>> cells = Report.byCell(results);
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH_PX)
                .height(HEIGHT_PX)
                .title("Service by scenario")
                .yAxisTitle("service")
                .build();
        style(chart.getStyler());
        chart.getStyler().setAvailableSpaceFill(0.8).setXAxisLabelRotation(45);
        for (String policy : Comparison.policies(results)) {
            Series series = new Series();
            for (List<Result> runs : cells.values()) {
                Statistics service = Statistics.of(runs, policy, Figure.SERVICE);
                series.add(Double.isNaN(service.mean()) ? 0 : service.mean(), service.halfWidth());
            }
            chart.addSeries(policy, new ArrayList<>(cells.keySet()), series.means, series.halfWidths);
        }
        return chart;
    }

    private static XYChart lines(List<Result> results, String scenario) {
        String parameter = results.get(0).parameters().replaceAll("=.*", "");
        XYChart chart = new XYChartBuilder()
                .width(WIDTH_PX)
                .height(HEIGHT_PX)
                .title(scenario)
                .xAxisTitle(parameter)
                .yAxisTitle("service")
                .build();
        style(chart.getStyler());
        for (String policy : Comparison.policies(results)) {
            Map<Double, List<Result>> runsByValue = new TreeMap<>();
            results.stream().filter(result -> result.policy().equals(policy)).forEach(result -> runsByValue
                    .computeIfAbsent(parameterValue(result), value -> new ArrayList<>())
                    .add(result));
            Series series = new Series();
            for (List<Result> runs : runsByValue.values()) {
                Statistics service = Statistics.of(runs, policy, Figure.SERVICE);
                series.add(service.mean(), service.halfWidth());
            }
            chart.addSeries(policy, new ArrayList<>(runsByValue.keySet()), series.means, series.halfWidths);
        }
        return chart;
    }

    private static double parameterValue(Result result) {
        return Double.parseDouble(result.parameters().replaceAll(".*=", ""));
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

    private static String svg(Chart<?, ?> chart) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsFormat.SVG);
        String svg = out.toString(StandardCharsets.UTF_8);
        return svg.substring(svg.indexOf("<svg")); // HTML must not contain the XML declaration
    }
}
