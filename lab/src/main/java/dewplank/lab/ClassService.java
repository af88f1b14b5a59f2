package dewplank.lab;

import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.RequestClassSpec;
import org.HdrHistogram.Histogram;

/** What clients got for one class of requests, warm-up left out. Counts are of requests, retries included in each. */
public final class ClassService {
    static final long MAX_LATENCY_US = 600_000_000L;
    static final int SIGNIFICANT_DIGITS = 3;

    private final RequestClassSpec requestClass;
    private final Histogram latencyUs = new Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    private long requests;
    private long withinTarget;
    private long refused;
    private long failed;
    private long attempts;

    ClassService(RequestClassSpec requestClass) {
        this.requestClass = requestClass;
    }

    /**
     * Counts a request.
     *
     * @param tookMs from the first attempt to the answer that served; NaN where none did
     * @param lastType what its last attempt ended with
     */
    void count(double tookMs, int requestAttempts, Type lastType) {
        requests++;
        attempts += requestAttempts;
        withinTarget += isWithinTarget(tookMs) ? 1 : 0;
        if (!Double.isNaN(tookMs)) {
            latencyUs.recordValue(Math.min(MAX_LATENCY_US, Math.round(tookMs * 1000)));
        } else if (lastType == Type.REFUSED) {
            refused++;
        } else {
            failed++;
        }
    }

    /** Whether a request that took so long met the class's latency target; NaN did not. */
    boolean isWithinTarget(double tookMs) {
        return tookMs <= requestClass.targetLatencyMs();
    }

    public String name() {
        return requestClass.name();
    }

    /** Of those served, in microseconds from the first attempt on. */
    public Histogram latencyUs() {
        return latencyUs;
    }

    /** The part of the requests that were served within the target, by count; 1 where there were none. */
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

    /** Requests whose last attempt was refused. */
    long refused() {
        return refused;
    }

    /** Requests whose last attempt ended neither served nor refused. */
    long failed() {
        return failed;
    }

    long attempts() {
        return attempts;
    }
}
