package dewplank.discovery;

import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.settings.Addresses;
import dewplank.settings.Fields;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * One message of discovery: a complete list of servers, or the changes to one.
 *
 * @param version discovery's version of the list after this update
 * @param isFull whether servers that are not named have been removed
 * @param members the servers, or the changed ones, in discovery's order
 */
public record CatalogUpdate(long version, boolean isFull, List<Member> members) {
    private static final Map<String, Availability> STATES =
            Map.of("active", Availability.UP, "leaving", Availability.DRAINING, "left", Availability.REMOVED);

    /**
     * One server.
     *
     * @param endpoint what the balancer knows of it
     * @param address where it listens for this sidecar
     */
    public record Member(Endpoint endpoint, InetSocketAddress address) {}

    /**
     * Reads discovery's JSON form.
     *
     * @throws dewplank.settings.InvalidInputException if a key is missing or of another type; it names the key
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

    /** The members as the balancer gets them, in the same order. */
    public List<Endpoint> endpoints() {
        return members.stream().map(Member::endpoint).toList();
    }
}
