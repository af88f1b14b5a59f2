package dewplank.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Draws in proportion to the weights, and the random numbers that each draw consumes. */
class WeightedDrawTest {
    private static final Map<String, Double> WEIGHTS = Map.of("a", 1.0, "b", 0.5, "c", 0.25, "d", 0.25, "none", 0.0);
    private static final List<String> ALL = List.of("a", "b", "c", "d", "none");
    private static final int DRAWS = 40_000;

    private final SplittableRandom random = new SplittableRandom(3);

    private Map<String, Integer> countDraws(List<String> from, String excluded) {
        Map<String, Integer> drawn = new HashMap<>();
        for (int index = 0; index < DRAWS; index++) {
            drawn.merge(WeightedDraw.draw(from, excluded, WEIGHTS::get, random), 1, Integer::sum);
        }
        return drawn;
    }

    @Test
    void drawsAreProportionalToTheWeights() {
        Map<String, Integer> drawn = countDraws(ALL, null);
        assertEquals(0.5, drawn.get("a") / (double) DRAWS, 0.02);
        assertEquals(0.25, drawn.get("b") / (double) DRAWS, 0.02);
        assertEquals(0.125, drawn.get("c") / (double) DRAWS, 0.02);
        assertEquals(0.125, drawn.get("d") / (double) DRAWS, 0.02);
        assertNull(drawn.get("none"));
    }

    @Test
    void theExcludedCandidateIsNeverDrawnAndTheOthersAreDrawnByWeight() {
        Map<String, Integer> drawn = countDraws(ALL, "a");
        assertNull(drawn.get("a"));
        assertEquals(0.5, drawn.get("b") / (double) DRAWS, 0.02);
        assertEquals(0.25, drawn.get("c") / (double) DRAWS, 0.02);
        drawn = countDraws(List.of("b", "c"), "c");
        assertEquals(Map.of("b", DRAWS), drawn, "the excluded candidate is last in the list");
    }

    @Test
    void returnsNullWithoutAnotherCandidate() {
        assertNull(WeightedDraw.draw(List.of(), null, WEIGHTS::get, random));
        assertNull(WeightedDraw.draw(List.of("a"), "a", WEIGHTS::get, random));
    }

    @Test
    void drawsTheLastCandidateIfAllWeightsAreZero() {
        assertEquals("y", WeightedDraw.draw(List.of("x", "y"), null, server -> 0, random));
    }

    /**
     * Decisions are reproducible by seed, so the number of random numbers that a draw consumes is part of its
     * contract.
     */
    @Test
    void eachDrawConsumesOneRandomNumber() {
        SplittableRandom expected = new SplittableRandom(3);
        WeightedDraw.draw(ALL, "b", WEIGHTS::get, random);
        expected.nextDouble();
        assertEquals(expected.nextLong(), random.nextLong());
    }
}
