package dewplank.dataplane;

import dewplank.configuration.Configuration;
import dewplank.configuration.ConfigurationDelta;
import dewplank.configuration.DeflateCodec;
import dewplank.membership.Member;
import dewplank.message.Endpoint;
import dewplank.message.EndpointList;
import dewplank.message.EndpointListVersion;
import dewplank.message.FleetUpdate;
import java.util.List;

/** Updates as control planes send them. */
final class FleetUpdates {
    private static final int MAX_BODY_BYTES = 1_000;

    private FleetUpdates() {}

    static Configuration configuration(long version, TestRoute... routes) throws Exception {
        return TestConfiguration.of(version, MAX_BODY_BYTES, routes);
    }

    /** The complete configuration, and nothing else. */
    static FleetUpdate complete(Configuration configuration) {
        return complete(configuration, null, null);
    }

    /** The complete configuration; endpoints and members are null where the update names none. */
    static FleetUpdate complete(Configuration configuration, EndpointList endpoints, List<Member> members) {
        return new FleetUpdate(
                DeflateCodec.deflate(configuration.json()), configuration.version(), 0, endpoints, members);
    }

    /** What leads from one configuration to the other. */
    static FleetUpdate delta(Configuration from, Configuration to) {
        return new FleetUpdate(
                DeflateCodec.deflate(ConfigurationDelta.between(from, to)), to.version(), from.version(), null, null);
    }

    /** No configuration; the members are null where the update names none. */
    static FleetUpdate endpoints(EndpointList endpoints, List<Member> members) {
        return new FleetUpdate(null, 0, 0, endpoints, members);
    }

    /** No configuration and no endpoints. */
    static FleetUpdate members(List<Member> members) {
        return new FleetUpdate(null, 0, 0, null, members);
    }

    static EndpointList endpointList(EndpointListVersion version, Endpoint... endpoints) {
        return new EndpointList(version, List.of(endpoints));
    }
}
