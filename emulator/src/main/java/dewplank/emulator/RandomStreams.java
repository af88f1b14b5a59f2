package dewplank.emulator;

import dewplank.emulator.scenario.Distribution;
import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.AhrensDieterMarsagliaTsangGammaSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Named streams of random numbers. Each concern has its own stream, so that a change of one concern, or of the policy
 * under test, doesn't affect the numbers of the others: runs with the same seed can be compared pairwise.
 */
public final class RandomStreams {
    /** Upper bound of log-normal values, in multiples of the mean; clients and servers abort longer work anyway. */
    private static final double MAX_LOGNORMAL = 25;

    private final long seed;

    /** Creates the streams of a run with the given seed. */
    public RandomStreams(long seed) {
        this.seed = seed;
    }

    /** xoroshiro128++ (Blackman, Vigna), seeded from the run's seed, the name and the number. */
    public UniformRandomProvider stream(String name, long number) {
        long mixed = mix(mix(seed ^ mix(name.hashCode())) + number);
        return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {mixed, mix(mixed + 1)});
    }

    /** Returns a number from 0 to 1 that depends only on the run's seed and the given number. */
    public double uniform(long number) {
        return toUniform(mix(seed ^ mix(number)));
    }

    /** Maps 64 random bits to a number from 0 to 1. */
    static double toUniform(long bits) {
        return (bits >>> 11) * 0x1.0p-53;
    }

    /** The finalizer of SplitMix64 (Steele, Lea, Flood, OOPSLA '14). */
    public static long mix(long value) {
        long z = value + 0x9E3779B97F4A7C15L;
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }

    /** Samples of the exponential distribution with mean 1. */
    public static DoubleSupplier exponential(UniformRandomProvider random) {
        return ZigguratSampler.Exponential.of(random)::sample;
    }

    /** Samples of the standard normal distribution. */
    public static DoubleSupplier normal(UniformRandomProvider random) {
        return ZigguratSampler.NormalizedGaussian.of(random)::sample;
    }

    /** Samples with mean 1 and the coefficient of variation {@code cv}. */
    public static DoubleSupplier around(Distribution distribution, double cv, UniformRandomProvider random) {
        if (cv <= 0 || distribution == Distribution.FIXED) {
            return () -> 1;
        }
        return switch (distribution) {
            case LOGNORMAL -> {
                double variance = StrictMath.log(1 + cv * cv);
                DoubleSupplier sampler = LogNormalSampler.of(
                        ZigguratSampler.NormalizedGaussian.of(random), -variance / 2, Math.sqrt(variance))::sample;
                yield () -> Math.min(MAX_LOGNORMAL, sampler.getAsDouble());
            }
            case GAMMA -> AhrensDieterMarsagliaTsangGammaSampler.of(random, 1 / (cv * cv), cv * cv)::sample;
            default -> exponential(random);
        };
    }
}
