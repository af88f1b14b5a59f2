package dewplank.lab.load;

import org.HdrHistogram.Histogram;

/** What became of the requests of one class. Counted on its worker's thread; read after the run. */
public final class ClassOutcome {
    /** Longer latencies count as this one: ten minutes, the longest time-out that the command takes. */
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
    private long broken;
    private long timedOut;

    ClassOutcome(String name) {
        this.name = name;
    }

    void countSent() {
        sent++;
    }

    void countAnswer(int status, long tookUs) {
        if (status / 100 == 2) {
            ok++;
        } else if (status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE) {
            refused++;
        } else {
            otherStatus++;
        }
        latencyUs.recordValue(tookUs);
    }

    void countBroken() {
        broken++;
    }

    void countTimeout(long tookUs) {
        timedOut++;
        latencyUs.recordValue(tookUs);
    }

    void add(ClassOutcome other) {
        latencyUs.add(other.latencyUs);
        sent += other.sent;
        ok += other.ok;
        refused += other.refused;
        otherStatus += other.otherStatus;
        broken += other.broken;
        timedOut += other.timedOut;
    }

    public String name() {
        return name;
    }

    /**
     * Latencies in microseconds, from the intended start to the answer's last byte or the time-out; those of broken
     * connections are not in it.
     */
    public Histogram latencyUs() {
        return latencyUs;
    }

    public long sent() {
        return sent;
    }

    /** Answers with a status of 2xx. */
    public long ok() {
        return ok;
    }

    /** Answers with 429 or 503. */
    public long refused() {
        return refused;
    }

    /** Answers with any other status. */
    public long otherStatus() {
        return otherStatus;
    }

    /** Requests whose connection did not come up, or ended before the answer did. */
    public long broken() {
        return broken;
    }

    public long timedOut() {
        return timedOut;
    }

    /** Answers of any status. */
    public long answered() {
        return ok + refused + otherStatus;
    }
}
