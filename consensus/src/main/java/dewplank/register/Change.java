package dewplank.register;

/**
 * A caller's compare-and-set on the payload: the change function of CASPaxos.
 *
 * @param <A> the type of its result
 */
public interface Change<A> {
    /**
     * Computes the new payload from the current one. The proposer calls this method on the register's thread once per
     * ballot, so it may run several times and must have no side effects. The current payload may already contain the
     * result of this change if another proposer completed an earlier ballot of it.
     *
     * @param currentPayload the payload read from a quorum, not to be modified; null before the first change
     * @return the new payload, if any, and the result for the caller; never null
     */
    Decision<A> decide(byte[] currentPayload);
}
