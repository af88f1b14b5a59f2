package dewplank.emulator;

import dewplank.emulator.scenario.MachineType;
import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;

/** How often a server answers with faults: fractions of its requests, changed by {@link FaultInjector}. */
final class FaultRates {
    /** What becomes of a response on its way out of the server. */
    enum Delivery {
        DELIVERED,
        /** The connection stays open, and nothing comes. */
        LOST,
        RESET
    }

    private final UniformRandomProvider random;
    private final double usualErrorRate;
    private final double[] errorRateByClass;
    private double immediateErrorRate;
    private double lostResponseRate;
    private double resetRate;

    FaultRates(MachineType machine, int requestClasses, UniformRandomProvider random) {
        this.random = random;
        this.usualErrorRate = machine.errorRate();
        this.errorRateByClass = new double[requestClasses];
        Arrays.fill(errorRateByClass, usualErrorRate);
    }

    void setErrorRate(int requestClass, double rate) {
        errorRateByClass[requestClass] = rate;
    }

    void resetErrorRate(int requestClass) {
        errorRateByClass[requestClass] = usualErrorRate;
    }

    /** Requests that are answered with an error at once, without work. */
    void setImmediateErrorRate(double rate) {
        immediateErrorRate = rate;
    }

    /** Responses that are lost after the request took effect. */
    void setLostResponseRate(double rate) {
        lostResponseRate = rate;
    }

    /** Connections that are reset in place of a response. */
    void setResetRate(double rate) {
        resetRate = rate;
    }

    /** Draws whether a request fails at once. Draws nothing while the rate is 0. */
    boolean drawImmediateError() {
        return immediateErrorRate > 0 && random.nextDouble() < immediateErrorRate;
    }

    /** Draws whether a request that was worked on ends in an error. */
    boolean drawError(int requestClass) {
        return random.nextDouble() < errorRateByClass[requestClass];
    }

    Delivery drawDelivery() {
        double drawn = random.nextDouble();
        if (drawn < lostResponseRate) {
            return Delivery.LOST;
        }
        return drawn < lostResponseRate + resetRate ? Delivery.RESET : Delivery.DELIVERED;
    }

    /** The process ended. Its immediate errors end with it; the other rates are the machine's. */
    void processEnded() {
        immediateErrorRate = 0;
    }
}
