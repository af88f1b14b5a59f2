package dewplank.lab.load;

/** The intended starts of a plan's requests, generated from a rate shape or read from a trace. */
public sealed interface Schedule permits ShapedSchedule, TraceSchedule {
    /**
     * The starts of one of several equal parts of the requests.
     *
     * @param part index of the part, from 0
     * @param parts number of parts; all of them use the same seed
     */
    Arrivals arrivals(int part, int parts, long seed);
}
