package dewplank.emulator;

import dewplank.emulator.scenario.KeyModel;
import dewplank.emulator.scenario.RequestClassSpec;
import dewplank.emulator.scenario.Scenario;
import java.util.Arrays;
import java.util.stream.IntStream;

/** The distributions of requests over classes and keys, in cumulative form; looked up by a number from 0 to 1. */
final class RequestMix {
    private final double[] cumulativeClasses;
    private final double[] cumulativeKeys;

    RequestMix(Scenario scenario) {
        KeyModel keys = scenario.tenantsAndKeys().keys();
        this.cumulativeClasses = cumulative(scenario.classes().stream()
                .mapToDouble(RequestClassSpec::weight)
                .toArray());
        this.cumulativeKeys = cumulative(IntStream.range(0, keys.count())
                .mapToDouble(rank -> StrictMath.pow(rank + 1, -keys.zipfExponent()))
                .toArray());
    }

    int requestClass(double position) {
        return indexAt(position, cumulativeClasses);
    }

    /** The key at this position; negative if the scenario has no keys. */
    int subjectKey(double position) {
        return indexAt(position, cumulativeKeys);
    }

    private static double[] cumulative(double[] weights) {
        double sum = Arrays.stream(weights).sum();
        double[] cumulative = new double[weights.length];
        for (int i = 0; i < weights.length; i++) {
            cumulative[i] = weights[i] / sum + (i == 0 ? 0 : cumulative[i - 1]);
        }
        return cumulative;
    }

    /** The index whose interval of a cumulative distribution contains the position; -1 if the distribution is empty. */
    static int indexAt(double position, double[] cumulative) {
        int found = Arrays.binarySearch(cumulative, position);
        return Math.min(cumulative.length - 1, found >= 0 ? found : -found - 1);
    }
}
