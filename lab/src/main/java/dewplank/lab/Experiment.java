package dewplank.lab;

import dewplank.emulator.scenario.Scenario;
import java.util.ArrayList;
import java.util.List;

/**
 * What is to be run: every cell with every policy and every seed.
 *
 * @param about what it is about, for people; may be empty
 * @param policies names of {@link dewplank.lab.policies.Policies}
 * @param baseline the one of the policies that the others are compared with
 */
public record Experiment(
        String name, String about, List<Cell> cells, List<String> policies, List<Long> seeds, String baseline) {
    public Experiment {
        cells = List.copyOf(cells);
        policies = List.copyOf(policies);
        seeds = List.copyOf(seeds);
    }

    /** One world without its seed. {@code parameters}: what was varied, as {@link Result} has it. */
    public record Cell(String scenarioName, String parameters, Scenario scenario) {}

    /** One run. */
    public record Job(Cell cell, String policy, long seed) {}

    /** All runs, those of one world side by side. */
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
