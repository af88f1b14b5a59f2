package dewplank.discovery;

import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.settings.Addresses;
import dewplank.settings.Fields;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * An update from discovery: a full list of servers, or the changes to the previous list.
 *
 * @param version discovery's version of the list after this update
 * @param isFull whether servers that are missing from {@code members} have been removed
 * @param members all servers, or the changed ones, in the order of discovery's message
 */
public record CatalogUpdate(long version, boolean isFull, List<Member> members) {
    private static final Map<String, Availability> STATES =
            Map.of("active", Availability.UP, "leaving", Availability.DRAINING, "left", Availability.REMOVED);

    /**
     * A server in an update.
     *
     * @param endpoint the server's description for the balancer
     * @param address the address to which this sidecar connects
     */
    public record Member(Endpoint endpoint, InetSocketAddress address) {}

    /**
     * Decodes an update from discovery's JSON.
     *
     * @throws dewplank.settings.InvalidInputException if a key is missing or has the wrong type; the message names
     *     the key
     */
    public static CatalogUpdate of(Fields fields) {
        return new CatalogUpdate(
                fields.integer("version"),
                fields.flag("full"),
                fields.list("servers").stream().map(CatalogUpdate::member).toList());
    }

    private static Member member(Fields fields) {
        double startedAtMs = fields.number("started_ms", 0);
        Endpoint endpoint = new Endpoint(
                fields.text("id"),
                fields.text("zone"),
                fields.text("kind"),
                (long) fields.number("cell", 0),
                fields.choice("state", STATES),
                fields.number("weight", 1),
                startedAtMs > 0 ? startedAtMs : null);
        return new Member(endpoint, Addresses.parse(fields, "addr"));
    }

    /** Returns the endpoints of the members, in the same order. */
    public List<Endpoint> endpoints() {
        return members.stream().map(Member::endpoint).toList();
    }
}
