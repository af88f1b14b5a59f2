package dewplank.lab;

import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.RequestClassSpec;
import org.HdrHistogram.Histogram;

/** The service metrics of one class of requests, without the warm-up. A client's retries belong to the same request. */
public final class ClassMetrics {
    static final long MAX_LATENCY_US = 600_000_000L;
    static final int SIGNIFICANT_DIGITS = 3;

    private final RequestClassSpec requestClass;
    private final Histogram latencyUs = new Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    private long requests;
    private long withinTarget;
    private long refused;
    private long failed;
    private long attempts;

    ClassMetrics(RequestClassSpec requestClass) {
        this.requestClass = requestClass;
    }

    /**
     * Counts a request.
     *
     * @param latencyMs time from the first attempt to the successful response; NaN if there was none
     * @param lastType the event that ended its last attempt
     */
    void count(double latencyMs, int requestAttempts, Type lastType) {
        requests++;
        attempts += requestAttempts;
        withinTarget += isWithinTarget(latencyMs) ? 1 : 0;
        if (!Double.isNaN(latencyMs)) {
            latencyUs.recordValue(Math.min(MAX_LATENCY_US, Math.round(latencyMs * 1000)));
        } else if (lastType == Type.REFUSED) {
            refused++;
        } else {
            failed++;
        }
    }

    /** Whether a request with this latency met the class's latency target; false for NaN. */
    boolean isWithinTarget(double latencyMs) {
        return latencyMs <= requestClass.targetLatencyMs();
    }

    public String name() {
        return requestClass.name();
    }

    /** Latencies of the served requests in microseconds, from the first attempt. */
    public Histogram latencyUs() {
        return latencyUs;
    }

    /** The fraction of the requests that were served within the target, by count; 1 if there were no requests. */
    public double withinTargetRatio() {
        return requests == 0 ? 1 : (double) withinTarget / requests;
    }

    /** The value of one request. */
    double value() {
        return requestClass.value();
    }

    long requests() {
        return requests;
    }

    double requestedValue() {
        return requests * requestClass.value();
    }

    double valueWithinTarget() {
        return withinTarget * requestClass.value();
    }

    /** Requests whose last attempt was rejected. */
    long refused() {
        return refused;
    }

    /** Requests whose last attempt was neither served nor rejected. */
    long failed() {
        return failed;
    }

    long attempts() {
        return attempts;
    }
}
