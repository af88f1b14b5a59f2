package dewplank.controlplane;

/**
 * This process's view of one singleton role of the fleet: whether it holds the lease, and under which fencing token.
 *
 * <p>Used by the classes that act for the whole fleet ({@link EndpointPoller}, {@link StageController}, {@link
 * AcceptorReconfigurer}), on the loop's thread only.
 */
interface SingletonRole {
    /** Whether this process holds the lease now. */
    boolean isLeaseHolder();

    /** The token of the lease that was acquired here last; tokens grow from lease to lease over the whole fleet. */
    long fencingToken();

    /** Whether the lease was held without a break since it was acquired under this token. Checked before each act. */
    default boolean isLeaseHolder(long fencingToken) {
        return isLeaseHolder() && fencingToken() == fencingToken;
    }

    /**
     * Releases the lease, so that another process may do what this one can't.
     *
     * @param minimumMs no candidacy here for at least so many milliseconds
     */
    default void stepDown(double minimumMs) {}
}
