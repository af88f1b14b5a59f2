package dewplank.discovery;

import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.settings.Addresses;
import dewplank.settings.Fields;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/** A list of servers, or the changes to one, in discovery's form. */
public record CatalogUpdate(long version, boolean isFull, List<Member> members) {
    private static final Map<String, Availability> STATES =
            Map.of("active", Availability.UP, "leaving", Availability.DRAINING, "left", Availability.REMOVED);

    /** One server: what the module knows of it, under its {@code id}, and where it listens for this sidecar. */
    public record Member(Endpoint endpoint, InetSocketAddress address) {}

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

    public List<Endpoint> endpoints() {
        return members.stream().map(Member::endpoint).toList();
    }
}
