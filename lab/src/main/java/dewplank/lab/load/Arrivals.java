package dewplank.lab.load;

/** When the requests of one worker are to start. One of each, read by one thread. */
@FunctionalInterface
public interface Arrivals {
    /** Comes after the last start, any number of times. */
    double END = Double.POSITIVE_INFINITY;

    /** The next intended start in milliseconds from the beginning, never before the one given last; or {@link #END}. */
    double nextMs();
}
