package dewplank.lab.load;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What a load run measured.
 *
 * @param classes one for each class of the plan, in its order
 * @param lagUs how late the tool itself was, for its wake-ups and for requests that had a free connection, microseconds
 * @param busyFraction the part of a core that the busiest of the loops used: at 1 the tool is what was measured
 * @param elapsedS seconds from the first intended start to the last answer
 * @param connectionsOpened by all workers together
 */
public record LoadOutcome(
        List<ClassOutcome> classes, Histogram lagUs, double busyFraction, double elapsedS, long connectionsOpened) {
    private static final long MAX_SOUND_LAG_US = 5_000;
    private static final double MAX_SOUND_BUSY_FRACTION = 0.97;

    /** The classes together. */
    public ClassOutcome all() {
        ClassOutcome all = new ClassOutcome("all");
        classes.forEach(all::add);
        return all;
    }

    /** Whether the tool kept its own times well enough for its figures to be the target's. */
    public boolean sound() {
        return lagUs.getValueAtPercentile(99) <= MAX_SOUND_LAG_US && busyFraction <= MAX_SOUND_BUSY_FRACTION;
    }
}
