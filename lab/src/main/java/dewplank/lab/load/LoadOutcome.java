package dewplank.lab.load;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * The measurements of a load run.
 *
 * @param classes one outcome for each class, in the order of the plan
 * @param lagUs lag of the tool itself in microseconds, at wake-ups and at sends for which a connection was free
 * @param busyFraction fraction of a core that the busiest loop used; near 1 the tool itself limits the figures
 * @param elapsedS seconds from the first intended start to the last response
 * @param connectionsOpened number of connections that all workers opened in total
 */
public record LoadOutcome(
        List<ClassOutcome> classes, Histogram lagUs, double busyFraction, double elapsedS, long connectionsOpened) {
    private static final long MAX_VALID_LAG_US = 5_000;
    private static final double MAX_VALID_BUSY_FRACTION = 0.97;

    /** The sum of all classes. */
    public ClassOutcome all() {
        ClassOutcome all = new ClassOutcome("all");
        classes.forEach(all::add);
        return all;
    }

    /** Whether the tool's lag and load were low enough for its figures to describe the target. */
    public boolean isValid() {
        return lagUs.getValueAtPercentile(99) <= MAX_VALID_LAG_US && busyFraction <= MAX_VALID_BUSY_FRACTION;
    }
}
