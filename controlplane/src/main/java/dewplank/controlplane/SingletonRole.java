package dewplank.controlplane;

/**
 * This process's view of one singleton role of the fleet: whether it holds the lease, and under which fencing token.
 *
 * <p>Used by the classes that act for the whole fleet ({@link EndpointPoller}, {@link StageController}, {@link
 * AcceptorReconfigurer}, {@link QuotaShares}). Must be used on the loop's thread only.
 */
interface SingletonRole {
    /** Whether this process holds the lease now. */
    boolean isLeaseHolder();

    /** The token of the lease that this process acquired last; tokens increase with each lease across the fleet. */
    long fencingToken();

    /**
     * Whether this process has held the lease without interruption since it acquired it under this token. Checked
     * before each action.
     */
    default boolean isLeaseHolder(long fencingToken) {
        return isLeaseHolder() && fencingToken() == fencingToken;
    }

    /**
     * Releases the lease so that another process can acquire it and do the work that this process can't do.
     *
     * @param minimumMs the minimum time before this process becomes a candidate again, in milliseconds
     */
    default void stepDown(double minimumMs) {}
}
