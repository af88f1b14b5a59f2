package dewplank.lab;

import dewplank.settings.InvalidInputException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The identity of one simulation run in an experiment, and its figures.
 *
 * @param parameters the varied parameters, such as {@code load.share=0.7}, separated by blanks; may be empty
 * @param figures all figures; NaN for a figure that the file does not contain
 */
public record Result(String scenario, String parameters, String policy, long seed, Map<Figure, Double> figures) {
    private static final String KEYS = "scenario,parameters,policy,seed,";
    private static final int KEY_COLUMNS = 4;
    /** Integers below this limit are written without decimals. */
    private static final double MAX_PLAIN_INTEGER = 1e12;

    public Result {
        figures = Collections.unmodifiableMap(new EnumMap<>(figures));
    }

    public double figure(Figure figure) {
        return figures.get(figure);
    }

    /** The scenario, parameters and seed, by which runs of different policies are paired. */
    public String pairingKey() {
        return scenario + " " + parameters + " " + seed;
    }

    /** A human-readable name of the scenario and its varied parameters. */
    public String cellName() {
        return parameters.isEmpty() ? scenario : scenario + " " + parameters;
    }

    static String csvHeader() {
        return KEYS + String.join(",", Figure.columns());
    }

    String csvLine() {
        StringBuilder line = new StringBuilder(scenario + "," + parameters + "," + policy + "," + seed);
        for (Figure figure : Figure.values()) {
            line.append(',').append(csvValue(figures.get(figure)));
        }
        return line.toString();
    }

    private static String csvValue(double value) {
        boolean isPlainInteger = value == Math.rint(value) && Math.abs(value) < MAX_PLAIN_INTEGER;
        return isPlainInteger ? Long.toString((long) value) : String.format(Locale.ROOT, "%.6f", value);
    }

    /**
     * Parses a table written with {@link #csvHeader} and {@link #csvLine}. Columns that are not current figures are
     * ignored.
     *
     * @param file name of the file, for error messages
     * @throws InvalidInputException if the lines are not such a table or a line is malformed
     */
    static List<Result> parseTable(List<String> lines, String file) {
        if (lines.isEmpty() || !lines.get(0).startsWith(KEYS)) {
            throw new InvalidInputException(file + ": not a table of simulation runs");
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

    private static Result parse(String line, List<String> columns, String location) {
        String[] values = line.split(",", -1);
        if (values.length != columns.size()) {
            throw new InvalidInputException(
                    location + ": " + values.length + " values, but the header has " + columns.size());
        }
        Map<Figure, Double> figures = new EnumMap<>(Figure.class);
        for (Figure figure : Figure.values()) {
            figures.put(figure, Double.NaN);
        }
        try {
            for (int i = KEY_COLUMNS; i < values.length; i++) {
                double value = Double.parseDouble(values[i]);
                Figure.ofColumn(columns.get(i)).ifPresent(figure -> figures.put(figure, value));
            }
            return new Result(values[0], values[1], values[2], Long.parseLong(values[3]), figures);
        } catch (NumberFormatException e) {
            throw new InvalidInputException(location + ": " + e.getMessage());
        }
    }
}
