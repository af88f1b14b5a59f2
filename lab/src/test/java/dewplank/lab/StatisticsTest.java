package dewplank.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Means and 95 % confidence intervals. */
class StatisticsTest {
    @Test
    void theHalfWidthMatchesStudentsInterval() {
        Statistics statistics = Statistics.of(List.of(0.10, 0.12, 0.11, 0.13));
        assertEquals(0.115, statistics.mean(), 1e-12);
        assertEquals(0.02054, statistics.halfWidth(), 1e-4); // t(3) = 3.182, deviation 0.01291, square root of 4
        assertTrue(statistics.isSignificant());
    }

    @Test
    void anIntervalThatContainsZeroIsNotSignificant() {
        assertTrue(!Statistics.of(List.of(-0.1, 0.1, 0.02)).isSignificant());
    }

    @Test
    void aSingleValueHasNoInterval() {
        assertTrue(Double.isNaN(Statistics.of(List.of(1.0)).halfWidth()));
    }
}
