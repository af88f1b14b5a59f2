package dewplank.quota;

/**
 * A share of all tenants' limits for the duration of a lease. The assigner sends it in the acknowledgement of a
 * heartbeat. Immutable.
 *
 * @param fraction the share, from 0 to 1
 * @param fencingToken the assigner's fencing token
 * @param number the assigner's number for the grant, which increases with each grant under this token; not the
 *        heartbeat's sequence number, which restarts with each incarnation of the receiver
 * @param renewalOnly whether the grant must not exceed the share that the receiver still has when the grant arrives,
 *        because the assigner does not know yet what its predecessor assigned after the heartbeat was sent
 */
public record ShareGrant(double fraction, long fencingToken, long number, boolean renewalOnly) {}
