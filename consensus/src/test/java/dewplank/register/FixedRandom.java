package dewplank.register;

import java.util.random.RandomGenerator;

/** Draws the same number again and again: one for each life of a process. */
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
