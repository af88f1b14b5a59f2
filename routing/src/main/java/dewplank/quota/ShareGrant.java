package dewplank.quota;

/**
 * A share of all tenants' limits, for the length of a lease, as the assigner grants it in the acknowledgement of a
 * heartbeat. Immutable.
 *
 * @param fraction the share, from 0 to 1
 * @param fencingToken the assigner's fencing token
 * @param number the assigner's number of the grant, above those of all its earlier grants under this token; not the
 *        heartbeat's sequence number, which begins anew with each incarnation of the receiver
 * @param renewalOnly whether the grant gives no more than what its receiver still holds when it arrives: the assigner
 *        does not know yet what its predecessor assigned after the heartbeat was sent
 */
public record ShareGrant(double fraction, long fencingToken, long number, boolean renewalOnly) {}
