package dewplank.balancer;

/**
 * One server in the endpoint list.
 *
 * @param server its id, unique in the list
 * @param cell its failure domain within the zone
 * @param rating its configured capacity, relative to the other servers
 * @param startedAtMs when its process started; null if that is unknown or long ago
 */
public record Endpoint(
        String server,
        String zone,
        String kind,
        long cell,
        Availability availability,
        double rating,
        Double startedAtMs) {

    /** Whether a server accepts new requests, according to the endpoint list. */
    public enum Availability {
        UP,
        DRAINING,
        REMOVED
    }
}
