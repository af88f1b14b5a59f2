package dewplank.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Compares two sets of simulation runs, paired by scenario, parameters and seed. Differences are computed per pair, so
 * that the influence of the seeds on a figure cancels out.
 */
public final class Comparison {
    /** The comparison of one cell. {@code difference}: the second figure minus the first, over all pairs. */
    public record Row(
            String cell,
            String firstPolicy,
            String secondPolicy,
            Statistics difference,
            Statistics firstFigures,
            Statistics secondFigures) {}

    /** One figure of two runs with the same scenario, parameters and seed. */
    private record Pair(double first, double second) {
        double difference() {
            return second - first;
        }
    }

    private Comparison() {}

    /** Pairs the runs of the same policy in two folders. */
    public static List<Row> ofFolders(List<Result> firstRuns, List<Result> secondRuns, Figure figure) {
        List<Row> rows = new ArrayList<>();
        for (String policy : policies(firstRuns)) {
            if (policies(secondRuns).contains(policy)) {
                rows.addAll(rows(ofPolicy(firstRuns, policy), ofPolicy(secondRuns, policy), figure));
            }
        }
        return rows;
    }

    /** Pairs each policy with the baseline within one folder. */
    public static List<Row> withBaseline(List<Result> all, String baseline, Figure figure) {
        List<Row> rows = new ArrayList<>();
        for (String policy : policies(all)) {
            if (!policy.equals(baseline)) {
                rows.addAll(rows(ofPolicy(all, baseline), ofPolicy(all, policy), figure));
            }
        }
        return rows;
    }

    /** The names of the policies, in the order of their first runs. */
    static Set<String> policies(List<Result> results) {
        Set<String> names = new LinkedHashSet<>();
        results.forEach(result -> names.add(result.policy()));
        return names;
    }

    private static List<Result> ofPolicy(List<Result> all, String policy) {
        return all.stream().filter(result -> result.policy().equals(policy)).toList();
    }

    /** One row per cell, from two sets of runs, each of a single policy. */
    private static List<Row> rows(List<Result> firstRuns, List<Result> secondRuns, Figure figure) {
        Map<String, Result> firstByPairingKey = new LinkedHashMap<>();
        firstRuns.forEach(result -> firstByPairingKey.put(result.pairingKey(), result));
        Map<String, List<Pair>> pairsByCell = new LinkedHashMap<>();
        for (Result second : secondRuns) {
            Result first = firstByPairingKey.get(second.pairingKey());
            if (first != null) {
                pairsByCell
                        .computeIfAbsent(second.cellName(), cell -> new ArrayList<>())
                        .add(new Pair(first.figure(figure), second.figure(figure)));
            }
        }
        List<Row> rows = new ArrayList<>();
        pairsByCell.forEach((cell, pairs) -> rows.add(new Row(
                cell,
                firstRuns.get(0).policy(),
                secondRuns.get(0).policy(),
                Statistics.of(pairs.stream().map(Pair::difference).toList()),
                Statistics.of(pairs.stream().map(Pair::first).toList()),
                Statistics.of(pairs.stream().map(Pair::second).toList()))));
        return rows;
    }

    /** A table for a terminal; an asterisk marks statistically significant differences. */
    public static String table(List<Row> rows, Figure figure) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%-34s %-18s %-18s %9s %9s %9s %9s  n%n",
                "scenario",
                "first",
                "second",
                figure.column() + " 1",
                figure.column() + " 2",
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
                    row.difference().isSignificant() ? " *" : ""));
        }
        return text.toString();
    }
}
