package dewplank.emulator;

import dewplank.emulator.scenario.MachineType;
import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;

/** Rates of a server's response faults, as fractions of its requests; set by {@link FaultInjector}. */
final class FaultRates {
    /** Whether a response leaves the server. */
    enum Delivery {
        DELIVERED,
        /** The connection stays open, but no response is sent. */
        LOST,
        RESET
    }

    private final UniformRandomProvider random;
    private final double baseErrorRate;
    private final double[] errorRateByClass;
    private double immediateErrorRate;
    private double lostResponseRate;
    private double resetRate;

    FaultRates(MachineType machine, int requestClasses, UniformRandomProvider random) {
        this.random = random;
        this.baseErrorRate = machine.errorRate();
        this.errorRateByClass = new double[requestClasses];
        Arrays.fill(errorRateByClass, baseErrorRate);
    }

    void setErrorRate(int requestClass, double rate) {
        errorRateByClass[requestClass] = rate;
    }

    void resetErrorRate(int requestClass) {
        errorRateByClass[requestClass] = baseErrorRate;
    }

    /** Sets the fraction of requests that fail immediately, without any work. */
    void setImmediateErrorRate(double rate) {
        immediateErrorRate = rate;
    }

    /** Sets the fraction of responses that are lost after the request took effect. */
    void setLostResponseRate(double rate) {
        lostResponseRate = rate;
    }

    /** Sets the fraction of requests whose connection is reset instead of a response. */
    void setResetRate(double rate) {
        resetRate = rate;
    }

    /** Draws whether a request fails immediately. Uses no random number while the rate is 0. */
    boolean drawImmediateError() {
        return immediateErrorRate > 0 && random.nextDouble() < immediateErrorRate;
    }

    /** Draws whether a request fails after its work is done. */
    boolean drawError(int requestClass) {
        return random.nextDouble() < errorRateByClass[requestClass];
    }

    Delivery drawDelivery() {
        double sample = random.nextDouble();
        if (sample < lostResponseRate) {
            return Delivery.LOST;
        }
        return sample < lostResponseRate + resetRate ? Delivery.RESET : Delivery.DELIVERED;
    }

    /** Resets the immediate errors, which belong to the ended process; the other rates belong to the machine. */
    void onProcessEnded() {
        immediateErrorRate = 0;
    }
}
