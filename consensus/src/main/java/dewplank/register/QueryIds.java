package dewplank.register;

import java.util.random.RandomGenerator;

/**
 * Generates the ids of the status queries of one incarnation, which match reports to queries. The first id is random,
 * so that a delayed report to an earlier incarnation does not match a query of this one.
 */
final class QueryIds {
    /** The id of every fetch; reports to fetches are not counted. */
    static final long FETCH = 0;

    private long last;

    QueryIds(RandomGenerator random) {
        // 62 random bits plus 1: greater than FETCH, and far from overflow.
        last = (random.nextLong() >>> 2) + 1;
    }

    long next() {
        last++;
        return last;
    }
}
