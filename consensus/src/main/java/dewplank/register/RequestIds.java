package dewplank.register;

import java.util.random.RandomGenerator;

/**
 * Numbers the status queries of one incarnation, so that a report is matched to its query. The first id is drawn: a
 * delayed report to an earlier incarnation must not count for this one.
 */
final class RequestIds {
    /** The id of every fetch, whose reports are not counted. */
    static final long FETCH = 0;

    private long last;

    RequestIds(RandomGenerator random) {
        // 62 bits: above FETCH, and no overflow by counting.
        last = (random.nextLong() >>> 2) + 1;
    }

    long next() {
        last++;
        return last;
    }
}
