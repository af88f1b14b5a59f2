package dewplank.lab.load;

import org.HdrHistogram.Histogram;

/** Counts the outcomes of one class's requests. Updated on the worker's thread; read after the run. */
public final class ClassOutcome {
    /** Longer latencies are recorded as this value: ten minutes, the longest timeout that the command accepts. */
    static final long MAX_LATENCY_US = 600_000_000L;

    static final int SIGNIFICANT_DIGITS = 3;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final String name;
    private final Histogram latencyUs = new Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    private long sent;
    private long ok;
    private long refused;
    private long otherStatus;
    private long connectionFailures;
    private long timedOut;

    ClassOutcome(String name) {
        this.name = name;
    }

    void countSent() {
        sent++;
    }

    void countResponse(int status, long elapsedUs) {
        if (status / 100 == 2) {
            ok++;
        } else if (status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE) {
            refused++;
        } else {
            otherStatus++;
        }
        latencyUs.recordValue(elapsedUs);
    }

    void countConnectionFailure() {
        connectionFailures++;
    }

    void countTimeout(long elapsedUs) {
        timedOut++;
        latencyUs.recordValue(elapsedUs);
    }

    void add(ClassOutcome other) {
        latencyUs.add(other.latencyUs);
        sent += other.sent;
        ok += other.ok;
        refused += other.refused;
        otherStatus += other.otherStatus;
        connectionFailures += other.connectionFailures;
        timedOut += other.timedOut;
    }

    public String name() {
        return name;
    }

    /**
     * Latencies in microseconds, from the intended start to the last byte of the response or the timeout. Requests
     * whose connection failed are not included.
     */
    public Histogram latencyUs() {
        return latencyUs;
    }

    public long sent() {
        return sent;
    }

    /** Responses with a 2xx status. */
    public long ok() {
        return ok;
    }

    /** Responses with 429 or 503. */
    public long refused() {
        return refused;
    }

    /** Responses with any other status. */
    public long otherStatus() {
        return otherStatus;
    }

    /** Requests whose connection was not established, or closed before the response was complete. */
    public long connectionFailures() {
        return connectionFailures;
    }

    public long timedOut() {
        return timedOut;
    }

    /** Responses of any status. */
    public long responses() {
        return ok + refused + otherStatus;
    }
}
