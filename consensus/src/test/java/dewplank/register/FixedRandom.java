package dewplank.register;

import java.util.random.RandomGenerator;

/** Always returns the same number; each incarnation of a process uses a different one. */
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
