package dewplank.register;

import java.util.random.RandomGenerator;

/** Always draws the same number, one for each incarnation of a process. */
record FixedRandom(long number) implements RandomGenerator {
    @Override
    public long nextLong() {
        return number;
    }

    @Override
    public double nextDouble() {
        return 0;
    }
}
