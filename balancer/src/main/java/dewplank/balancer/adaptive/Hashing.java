package dewplank.balancer.adaptive;

/** A fixed hash function for orders of servers: the same on all instances and in all releases. */
final class Hashing {
    private Hashing() {}

    /**
     * Distributes the value's bits over all 64 with the finalizer of SplitMix64 (Steele, Lea and Flood,
     * OOPSLA '14).
     */
    static long mix(long value) {
        long mixed = value * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 29) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 32;
    }
}
