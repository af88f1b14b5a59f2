package dewplank.discovery;

import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.settings.Addresses;
import dewplank.settings.Fields;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/** A list of servers, or the changes to one, in discovery's form. */
public record Listing(long version, boolean full, List<Member> members) {
    private static final Map<String, Availability> STATES =
            Map.of("active", Availability.UP, "leaving", Availability.DRAINING, "left", Availability.REMOVED);

    /** One server: what the module knows of it, under its {@code id}, and where it listens for this sidecar. */
    public record Member(Endpoint entry, InetSocketAddress address) {}

    public static Listing of(Fields list) {
        return new Listing(
                list.integer("version"),
                list.flag("full"),
                list.list("servers").stream().map(Listing::member).toList());
    }

    private static Member member(Fields m) {
        double started = m.number("started_ms", 0);
        Endpoint entry = new Endpoint(
                m.text("id"),
                m.text("zone"),
                m.text("kind"),
                (long) m.number("cell", 0),
                m.choice("state", STATES),
                m.number("weight", 1),
                started > 0 ? started : null);
        return new Member(entry, Addresses.parse(m, "addr"));
    }

    public List<Endpoint> entries() {
        return members.stream().map(Member::entry).toList();
    }
}
