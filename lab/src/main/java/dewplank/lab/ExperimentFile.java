package dewplank.lab;

import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.scenario.ScenarioFile;
import dewplank.emulator.scenario.TomlFile;
import dewplank.emulator.scenario.TomlFile.Table;
import dewplank.lab.Experiment.Cell;
import dewplank.lab.policies.Policies;
import dewplank.settings.InvalidInputException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.LongStream;

/** Reads experiment files. A file is read and validated completely before any run starts. */
public final class ExperimentFile {
    private static final int MAX_SEEDS = 10_000;
    private static final int DEFAULT_SEEDS = 5;
    private static final int MAX_FIRST_SEED = 1_000_000_000;
    private static final double MAX_LENGTH_S = 3_600;
    private static final double USE_SCENARIO_LENGTH = 0;

    private ExperimentFile() {}

    /**
     * Reads a file.
     *
     * @throws InvalidInputException with the line and the key of the error
     */
    public static Experiment read(Path file) {
        return parse(TomlFile.read(file));
    }

    static Experiment parse(Table table) {
        String name = table.text("name");
        List<String> scenarios = table.texts("scenarios");
        List<String> policies = table.texts("policies", List.of("choice"));
        policies.forEach(policy -> checkPolicy(policy, table));
        int seeds = table.integer("seeds", 1, MAX_SEEDS, DEFAULT_SEEDS);
        int firstSeed = table.integer("first_seed", 0, MAX_FIRST_SEED, 1);
        String baseline = table.text("baseline", policies.get(0));
        if (!policies.contains(baseline)) {
            throw table.error("baseline", "is not one of the policies");
        }
        double lengthS = table.number("length_s", 0, MAX_LENGTH_S, USE_SCENARIO_LENGTH);
        Map<String, List<Double>> variations = variations(table);
        String about = table.text("about", "");
        table.rejectUnknownKeys();
        return new Experiment(
                name,
                about,
                cells(scenarios, lengthS, variations, table),
                policies,
                LongStream.range(firstSeed, (long) firstSeed + seeds).boxed().toList(),
                baseline);
    }

    private static void checkPolicy(String policy, Table table) {
        try {
            Policies.named(policy);
        } catch (InvalidInputException e) {
            throw table.error("policies", "is invalid: " + e.getMessage());
        }
    }

    /** The values of each varied parameter. */
    private static Map<String, List<Double>> variations(Table table) {
        Map<String, List<Double>> variations = new LinkedHashMap<>();
        for (Table variation : table.tables("vary")) {
            variations.put(variation.text("parameter"), variation.numbers("values"));
            variation.rejectUnknownKeys();
        }
        return variations;
    }

    private static List<Cell> cells(
            List<String> scenarios, double lengthS, Map<String, List<Double>> variations, Table table) {
        List<Cell> cells = new ArrayList<>();
        for (String name : scenarios) {
            Scenario namedScenario = ScenarioFile.named(name);
            Scenario scenario =
                    lengthS == USE_SCENARIO_LENGTH ? namedScenario : namedScenario.with("length_s", lengthS);
            try {
                cells.addAll(expand(new Cell(scenario.name(), "", scenario), variations));
            } catch (IllegalArgumentException e) {
                throw table.error("vary", e.getMessage());
            }
        }
        return cells;
    }

    /** One cell for each combination of values; the last parameter varies fastest. */
    private static List<Cell> expand(Cell cell, Map<String, List<Double>> variations) {
        List<Cell> cells = List.of(cell);
        for (Map.Entry<String, List<Double>> variation : variations.entrySet()) {
            List<Cell> expanded = new ArrayList<>();
            for (Cell unexpanded : cells) {
                for (double value : variation.getValue()) {
                    expanded.add(vary(unexpanded, variation.getKey(), value));
                }
            }
            cells = expanded;
        }
        return cells;
    }

    private static Cell vary(Cell cell, String parameter, double value) {
        String text = value == Math.rint(value) ? Long.toString((long) value) : String.format(Locale.ROOT, "%s", value);
        String separator = cell.parameters().isEmpty() ? "" : " ";
        return new Cell(
                cell.scenarioName(),
                cell.parameters() + separator + parameter + "=" + text,
                cell.scenario().with(parameter, value));
    }
}
