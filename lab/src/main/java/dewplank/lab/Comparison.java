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
    public record Row(String cell, String first, String second, Statistics difference, Statistics of, Statistics to) {}

    private Comparison() {}

    /** Pairs runs of the same policy in two folders. */
    public static List<Row> folders(List<Result> a, List<Result> b, String figure) {
        List<Row> rows = new ArrayList<>();
        for (String policy : policies(a)) {
            if (policies(b).contains(policy)) {
                rows.addAll(pair(of(a, policy), of(b, policy), policy, policy, figure));
            }
        }
        return rows;
    }

    /** Pairs each policy with the baseline, within one folder. */
    public static List<Row> policies(List<Result> all, String baseline, String figure) {
        List<Row> rows = new ArrayList<>();
        for (String policy : policies(all)) {
            if (!policy.equals(baseline)) {
                rows.addAll(pair(of(all, baseline), of(all, policy), baseline, policy, figure));
            }
        }
        return rows;
    }

    static Set<String> policies(List<Result> results) {
        Set<String> names = new LinkedHashSet<>();
        results.forEach(r -> names.add(r.policy()));
        return names;
    }

    private static List<Result> of(List<Result> all, String policy) {
        return all.stream().filter(r -> r.policy().equals(policy)).toList();
    }

    private static List<Row> pair(List<Result> a, List<Result> b, String first, String second, String figure) {
        Map<String, Result> byWorld = new LinkedHashMap<>();
        a.forEach(r -> byWorld.put(r.world(), r));
        Map<String, List<double[]>> pairs = new LinkedHashMap<>();
        for (Result r : b) {
            Result other = byWorld.get(r.world());
            if (other != null) {
                pairs.computeIfAbsent(r.place(), p -> new ArrayList<>())
                        .add(new double[] {other.figure(figure), r.figure(figure)});
            }
        }
        List<Row> rows = new ArrayList<>();
        pairs.forEach((place, values) -> rows.add(new Row(
                place,
                first,
                second,
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
        for (Row r : rows) {
            text.append(String.format(
                    Locale.ROOT,
                    "%-34s %-18s %-18s %9.4f %9.4f %+9.4f %9.4f %2d%s%n",
                    r.cell(),
                    r.first(),
                    r.second(),
                    r.of().mean(),
                    r.to().mean(),
                    r.difference().mean(),
                    r.difference().halfWidth(),
                    r.difference().n(),
                    r.difference().differs() ? " *" : ""));
        }
        return text.toString();
    }
}
