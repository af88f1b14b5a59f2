package dewplank.lab;

import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.scenario.ScenarioFile;
import dewplank.emulator.scenario.TomlFile;
import dewplank.emulator.scenario.TomlFile.Table;
import dewplank.lab.policies.Policies;
import dewplank.settings.InvalidInputException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What is to be run: every scenario with every value of what is varied, every policy and every seed. All of it is read
 * and checked before anything runs.
 */
public record Experiment(
        String name, String about, List<Cell> cells, List<String> policies, List<Long> seeds, String baseline) {

    /** One world without its seed. */
    public record Cell(String scenarioName, String parameters, Scenario scenario) {}

    /** One run. */
    public record Job(Cell cell, String policy, long seed) {}

    private static final int MAX_SEEDS = 10_000;

    public static Experiment read(Path file) {
        return of(TomlFile.read(file));
    }

    static Experiment of(Table table) {
        String name = table.text("name");
        List<String> scenarios = table.texts("scenarios");
        List<String> policies = table.texts("policies", List.of("choice"));
        policies.forEach(p -> {
            try {
                Policies.named(p);
            } catch (InvalidInputException e) {
                throw table.error("policies", "is wrong: " + e.getMessage());
            }
        });
        int seeds = table.integer("seeds", 1, MAX_SEEDS, 5);
        int firstSeed = table.integer("first_seed", 0, 1_000_000_000, 1);
        String baseline = table.text("baseline", policies.get(0));
        if (!policies.contains(baseline)) {
            throw table.error("baseline", "is none of the policies");
        }
        double lengthS = table.number("length_s", 0, 3600, 0);
        Map<String, List<Double>> varied = new LinkedHashMap<>();
        for (Table variation : table.tables("vary")) {
            varied.put(variation.text("parameter"), variation.numbers("values"));
            variation.rejectUnknownKeys();
        }
        String about = table.text("about", "");
        table.rejectUnknownKeys();
        List<Cell> cells = new ArrayList<>();
        for (String scenarioName : scenarios) {
            Scenario scenario = ScenarioFile.named(scenarioName);
            scenario = lengthS > 0 ? scenario.with("length_s", lengthS) : scenario;
            try {
                expand(new Cell(scenario.name(), "", scenario), new ArrayList<>(varied.entrySet()), cells);
            } catch (IllegalArgumentException e) {
                throw table.error("vary", e.getMessage());
            }
        }
        List<Long> seedList = new ArrayList<>();
        for (int i = 0; i < seeds; i++) {
            seedList.add((long) firstSeed + i);
        }
        return new Experiment(name, about, List.copyOf(cells), List.copyOf(policies), List.copyOf(seedList), baseline);
    }

    private static void expand(Cell cell, List<Map.Entry<String, List<Double>>> varied, List<Cell> cells) {
        if (varied.isEmpty()) {
            cells.add(cell);
            return;
        }
        String parameter = varied.get(0).getKey();
        for (double value : varied.get(0).getValue()) {
            String text =
                    value == Math.rint(value) ? Long.toString((long) value) : String.format(Locale.ROOT, "%s", value);
            String parameters = (cell.parameters().isEmpty() ? "" : cell.parameters() + " ") + parameter + "=" + text;
            expand(
                    new Cell(cell.scenarioName(), parameters, cell.scenario().with(parameter, value)),
                    varied.subList(1, varied.size()),
                    cells);
        }
    }

    public List<Job> jobs() {
        List<Job> jobs = new ArrayList<>();
        for (Cell cell : cells) {
            for (long seed : seeds) {
                for (String policy : policies) {
                    jobs.add(new Job(cell, policy, seed));
                }
            }
        }
        return jobs;
    }
}
