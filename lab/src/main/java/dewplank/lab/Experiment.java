package dewplank.lab;

import dewplank.emulator.scenario.Scenario;
import java.util.ArrayList;
import java.util.List;

/**
 * An experiment, which runs every cell with every policy and every seed.
 *
 * @param about a human-readable description; may be empty
 * @param policies names of {@link dewplank.lab.policies.Policies}
 * @param baseline the policy that the others are compared with
 */
public record Experiment(
        String name, String about, List<Cell> cells, List<String> policies, List<Long> seeds, String baseline) {
    public Experiment {
        cells = List.copyOf(cells);
        policies = List.copyOf(policies);
        seeds = List.copyOf(seeds);
    }

    /** A scenario with fixed parameters, without a seed. {@code parameters}: the same text as in {@link Result}. */
    public record Cell(String scenarioName, String parameters, Scenario scenario) {}

    /** One simulation run. */
    public record Job(Cell cell, String policy, long seed) {}

    /** All runs; those with the same cell and seed are adjacent. */
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
