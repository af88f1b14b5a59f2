package dewplank.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Two sets of runs over the same worlds, paired by scenario, parameters and seed: the difference is taken run by run,
 * so that what the seeds alone do to a figure cancels.
 */
public final class Comparison {
    /** {@code difference}: of the second to the first. */
    public record Row(
            String cell,
            String firstPolicy,
            String secondPolicy,
            Statistics difference,
            Statistics firstFigures,
            Statistics secondFigures) {}

    private Comparison() {}

    /** Pairs runs of the same policy in two folders. */
    public static List<Row> ofFolders(List<Result> firstRuns, List<Result> secondRuns, String figure) {
        List<Row> rows = new ArrayList<>();
        for (String policy : policies(firstRuns)) {
            if (policies(secondRuns).contains(policy)) {
                rows.addAll(pair(ofPolicy(firstRuns, policy), ofPolicy(secondRuns, policy), policy, policy, figure));
            }
        }
        return rows;
    }

    /** Pairs each policy with the baseline, within one folder. */
    public static List<Row> withBaseline(List<Result> all, String baseline, String figure) {
        List<Row> rows = new ArrayList<>();
        for (String policy : policies(all)) {
            if (!policy.equals(baseline)) {
                rows.addAll(pair(ofPolicy(all, baseline), ofPolicy(all, policy), baseline, policy, figure));
            }
        }
        return rows;
    }

    static Set<String> policies(List<Result> results) {
        Set<String> names = new LinkedHashSet<>();
        results.forEach(r -> names.add(r.policy()));
        return names;
    }

    private static List<Result> ofPolicy(List<Result> all, String policy) {
        return all.stream().filter(r -> r.policy().equals(policy)).toList();
    }

    private static List<Row> pair(
            List<Result> firstRuns, List<Result> secondRuns, String firstPolicy, String secondPolicy, String figure) {
        Map<String, Result> firstByWorld = new LinkedHashMap<>();
        firstRuns.forEach(r -> firstByWorld.put(r.worldName(), r));
        Map<String, List<double[]>> pairs = new LinkedHashMap<>();
        for (Result r : secondRuns) {
            Result other = firstByWorld.get(r.worldName());
            if (other != null) {
                pairs.computeIfAbsent(r.cellName(), p -> new ArrayList<>())
                        .add(new double[] {other.figure(figure), r.figure(figure)});
            }
        }
        List<Row> rows = new ArrayList<>();
        pairs.forEach((cellName, values) -> rows.add(new Row(
                cellName,
                firstPolicy,
                secondPolicy,
                Statistics.of(values.stream().map(v -> v[1] - v[0]).toList()),
                Statistics.of(values.stream().map(v -> v[0]).toList()),
                Statistics.of(values.stream().map(v -> v[1]).toList()))));
        return rows;
    }

    /** A table for a terminal; a star marks differences that are more than chance. */
    public static String table(List<Row> rows, String figure) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%-34s %-18s %-18s %9s %9s %9s %9s  n%n",
                "scenario",
                "first",
                "second",
                figure + " 1",
                figure + " 2",
                "change",
                "+-"));
        for (Row row : rows) {
            text.append(String.format(
                    Locale.ROOT,
                    "%-34s %-18s %-18s %9.4f %9.4f %+9.4f %9.4f %2d%s%n",
                    row.cell(),
                    row.firstPolicy(),
                    row.secondPolicy(),
                    row.firstFigures().mean(),
                    row.secondFigures().mean(),
                    row.difference().mean(),
                    row.difference().halfWidth(),
                    row.difference().count(),
                    row.difference().differs() ? " *" : ""));
        }
        return text.toString();
    }
}
