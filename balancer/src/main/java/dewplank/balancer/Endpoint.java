package dewplank.balancer;

/**
 * One server as the endpoint list names it.
 *
 * @param server its id, unique in the list
 * @param cell its failure domain within the zone
 * @param rating its stated capacity, relative to the others
 * @param startedAtMs when its process started; null where it has run for long
 */
public record Endpoint(
        String server,
        String zone,
        String kind,
        long cell,
        Availability availability,
        double rating,
        Double startedAtMs) {

    /** Whether a server takes new requests, as the list says. */
    public enum Availability {
        UP,
        DRAINING,
        REMOVED
    }
}
