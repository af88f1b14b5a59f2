package dewplank.lab.load;

/** When a plan's requests are to start: by a shape, or as recorded. */
public sealed interface Schedule permits ShapedSchedule, TraceSchedule {
    /**
     * One of equal parts of the requests.
     *
     * @param part from 0 on
     * @param parts how many there are; all parts are drawn with the same seed
     */
    Arrivals arrivals(int part, int parts, long seed);
}
