package dewplank.lab.load;

/** The intended start times of one worker's requests. Each worker has its own instance and reads it on one thread. */
@FunctionalInterface
public interface Arrivals {
    /** Returned by every call after the last start. */
    double END = Double.POSITIVE_INFINITY;

    /** The next intended start in milliseconds since the start of the run, never decreasing; or {@link #END}. */
    double nextMs();
}
