package dewplank.lab;

import dewplank.settings.InvalidInputException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * One run's place in an experiment and its figures. {@code parameters}: what was varied, as {@code load.share=0.7}, or
 * empty. Figures are held in the order of {@link #FIGURES}; shares are parts of 1, times are milliseconds.
 */
public record Result(String scenario, String parameters, String policy, long seed, Map<String, Double> figures) {
    public static final List<String> FIGURES = List.of(
            "service",
            "worst_class",
            "worst_spell",
            "refused",
            "failed",
            "tries_each",
            "sends_each",
            "p50_ms",
            "p90_ms",
            "p99_ms",
            "requests",
            "violations",
            "probes",
            "handshakes",
            "directory_calls",
            "directory_lines",
            "events",
            "unsound",
            "worst_tenant");
    private static final int KEY_COLUMNS = 4;

    static String csvHeader() {
        return "scenario,parameters,policy,seed," + String.join(",", FIGURES);
    }

    public double figure(String name) {
        return figures.get(name);
    }

    /** What a run of another policy with the same world has in common. */
    public String worldName() {
        return scenario + " " + parameters + " " + seed;
    }

    public String cellName() {
        return parameters.isEmpty() ? scenario : scenario + " " + parameters;
    }

    String csvLine() {
        StringBuilder line = new StringBuilder(scenario + "," + parameters + "," + policy + "," + seed);
        for (String figure : FIGURES) {
            double value = figures.get(figure);
            line.append(',')
                    .append(
                            value == Math.rint(value) && Math.abs(value) < 1e12
                                    ? Long.toString((long) value)
                                    : String.format(Locale.ROOT, "%.6f", value));
        }
        return line.toString();
    }

    /** Reads a line again; {@code columns}: the file's header. */
    static Result parse(String line, List<String> columns, String location) {
        String[] parts = line.split(",", -1);
        if (parts.length != columns.size()) {
            throw new InvalidInputException(
                    location + ": " + parts.length + " values where the header has " + columns.size());
        }
        Map<String, Double> figures = new LinkedHashMap<>();
        try {
            for (int i = KEY_COLUMNS; i < parts.length; i++) {
                figures.put(columns.get(i), Double.parseDouble(parts[i]));
            }
            for (String figure : FIGURES) {
                figures.putIfAbsent(figure, Double.NaN);
            }
            return new Result(parts[0], parts[1], parts[2], Long.parseLong(parts[3]), figures);
        } catch (NumberFormatException e) {
            throw new InvalidInputException(location + ": " + e.getMessage());
        }
    }

    static List<Result> parseTable(List<String> lines, String file) {
        if (lines.isEmpty() || !lines.get(0).startsWith("scenario,parameters,policy,seed,")) {
            throw new InvalidInputException(file + ": not a table of runs");
        }
        List<String> columns = List.of(lines.get(0).split(","));
        List<Result> results = new ArrayList<>();
        for (int i = 1; i < lines.size(); i++) {
            if (!lines.get(i).isEmpty()) {
                results.add(parse(lines.get(i), columns, file + ":" + (i + 1)));
            }
        }
        return results;
    }
}
