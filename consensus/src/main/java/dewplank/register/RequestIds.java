package dewplank.register;

import java.util.random.RandomGenerator;

/**
 * Numbers the questions of one life, so that an answer finds who asked. The first number is drawn: an answer to an
 * earlier life, late on its way, must not count for this one.
 */
final class RequestIds {
    /** The question of a fetch, whose answer nobody counts. */
    static final long FETCH = 0;

    private long last;

    RequestIds(RandomGenerator random) {
        // 62 bits, above FETCH and with room to count.
        last = (random.nextLong() >>> 2) + 1;
    }

    long next() {
        last++;
        return last;
    }
}
