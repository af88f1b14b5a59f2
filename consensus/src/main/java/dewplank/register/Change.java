package dewplank.register;

/**
 * A caller's compare-and-set on the payload: the change function of CASPaxos.
 *
 * @param <A> the type of its result
 */
public interface Change<A> {
    /**
     * Decides on top of the current payload. The proposer calls it on the register's thread, once per ballot, so it may
     * run several times and must have no effects. Its own result may already be in the payload, when another proposer
     * completed an earlier ballot of this change.
     *
     * @param currentPayload the payload read at a quorum, not to be modified; null before the first
     * @return the new payload, if any, and the result for the caller; never null
     */
    Decision<A> decide(byte[] currentPayload);
}
