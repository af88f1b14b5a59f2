package dewplank.lab;

import static dewplank.lab.Html.escape;
import static dewplank.lab.Html.number;
import static dewplank.lab.Html.signed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Writes a report as a single, self-contained HTML file with tables and inline SVG charts. */
public final class Report {
    private static final String ORACLE = "oracle";
    private static final String STYLE = "body{font:15px/1.5 sans-serif;max-width:60em;margin:2em auto;"
            + "padding:0 1em;color:#222}table{border-collapse:collapse;margin:1em 0}"
            + "td,th{padding:.2em .7em;"
            + "border-bottom:1px solid #ddd;text-align:right;font-variant-numeric:tabular-nums}"
            + "td:first-child,"
            + "th:first-child{text-align:left}.bad{background:#fdd}.best{font-weight:bold}"
            + "svg{max-width:100%;"
            + "height:auto}";
    private static final String LEGEND =
            "<p>Bold: the best policy of those that do not see the true state. Red: a rule was broken.</p>";
    private static final List<Figure> COLUMNS = List.of(
            Figure.SERVICE,
            Figure.WORST_CLASS,
            Figure.WORST_WINDOW,
            Figure.REFUSED,
            Figure.FAILED,
            Figure.ATTEMPTS_PER_REQUEST,
            Figure.SENDS_PER_ATTEMPT,
            Figure.P50_MS,
            Figure.P99_MS,
            Figure.VIOLATIONS);

    private Report() {}

    /**
     * Writes the report of an experiment.
     *
     * @param about a human-readable description of the experiment; may be empty
     * @param baseline the policy that the others are compared with
     * @throws IOException if the file cannot be written
     */
    public static void write(List<Result> results, String title, String about, String baseline, Path file)
            throws IOException {
        StringBuilder html = new StringBuilder(head(title))
                .append("<body><h1>")
                .append(escape(title))
                .append("</h1><p>")
                .append(escape(about))
                .append("</p><p>")
                .append(results.size())
                .append(" runs. Service: value served within the latency target over the value "
                        + "requested. Means over seeds, with 95 % intervals (Student's t).</p>")
                .append(ReportCharts.svg(results))
                .append(overview(results));
        if (Comparison.policies(results).size() > 1) {
            html.append("<h2>Difference from ")
                    .append(escape(baseline))
                    .append("</h2>")
                    .append(differences(results, baseline));
        }
        byCell(results)
                .forEach((cell, runs) ->
                        html.append("<h2>").append(escape(cell)).append("</h2>").append(figures(runs)));
        html.append("</body></html>\n");
        Files.writeString(file, html.toString());
    }

    private static String head(String title) {
        return "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>" + escape(title)
                + "</title><style>" + STYLE + "</style></head>";
    }

    /** The runs of each cell, in the order of their first runs. */
    static Map<String, List<Result>> byCell(List<Result> results) {
        Map<String, List<Result>> cells = new LinkedHashMap<>();
        results.forEach(result -> cells.computeIfAbsent(result.cellName(), cell -> new ArrayList<>())
                .add(result));
        return cells;
    }

    private static String overview(List<Result> results) {
        Set<String> policies = Comparison.policies(results);
        StringBuilder html = new StringBuilder("<h2>Service by scenario</h2><table><tr><th>scenario</th>");
        policies.forEach(policy -> html.append("<th>").append(escape(policy)).append("</th>"));
        html.append("</tr>");
        byCell(results).forEach((cell, runs) -> html.append(overviewRow(cell, runs, policies)));
        return html.append("</table>").append(LEGEND).toString();
    }

    private static String overviewRow(String cell, List<Result> runs, Set<String> policies) {
        double best = policies.stream()
                .filter(policy -> !policy.equals(ORACLE))
                .mapToDouble(
                        policy -> Statistics.of(runs, policy, Figure.SERVICE).mean())
                .max()
                .orElse(0);
        StringBuilder html = new StringBuilder("<tr><td>").append(escape(cell)).append("</td>");
        for (String policy : policies) {
            Statistics service = Statistics.of(runs, policy, Figure.SERVICE);
            boolean isBroken = Statistics.of(runs, policy, Figure.VIOLATIONS).max() > 0;
            html.append("<td class=\"")
                    .append(isBroken ? "bad" : service.mean() >= best ? "best" : "")
                    .append("\">")
                    .append(number(service.mean()))
                    .append(Double.isNaN(service.halfWidth()) ? "" : " &plusmn; " + number(service.halfWidth()))
                    .append("</td>");
        }
        return html.append("</tr>").toString();
    }

    private static String differences(List<Result> results, String baseline) {
        StringBuilder html = new StringBuilder("<table><tr><th>scenario</th><th>policy</th><th>service</th>"
                + "<th>difference</th><th>&plusmn;</th><th>pairs</th></tr>");
        for (Comparison.Row row : Comparison.withBaseline(results, baseline, Figure.SERVICE)) {
            html.append("<tr><td>")
                    .append(escape(row.cell()))
                    .append("</td><td>")
                    .append(escape(row.secondPolicy()))
                    .append("</td><td>")
                    .append(number(row.secondFigures().mean()))
                    .append("</td><td class=\"")
                    .append(row.difference().isSignificant() ? "best" : "")
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

    private static String figures(List<Result> runs) {
        StringBuilder html = new StringBuilder("<table><tr><th>policy</th>");
        COLUMNS.forEach(figure -> html.append("<th>").append(figure.column()).append("</th>"));
        html.append("</tr>");
        for (String policy : Comparison.policies(runs)) {
            html.append("<tr><td>").append(escape(policy)).append("</td>");
            for (Figure figure : COLUMNS) {
                Statistics statistics = Statistics.of(runs, policy, figure);
                html.append("<td class=\"")
                        .append(figure == Figure.VIOLATIONS && statistics.max() > 0 ? "bad" : "")
                        .append("\">")
                        .append(number(statistics.mean()))
                        .append("</td>");
            }
            html.append("</tr>");
        }
        return html.append("</table>").toString();
    }
}
