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

/** Creates updates as control planes send them. */
final class FleetUpdates {
    private static final int MAX_BODY_BYTES = 1_000;

    private FleetUpdates() {}

    static Configuration configuration(long version, TestRoute... routes) throws Exception {
        return TestConfiguration.of(version, MAX_BODY_BYTES, routes);
    }

    /** An update with a complete configuration only. */
    static FleetUpdate complete(Configuration configuration) {
        return complete(configuration, null, null);
    }

    /** An update with a complete configuration; endpoints and members are null if it does not contain them. */
    static FleetUpdate complete(Configuration configuration, EndpointList endpoints, List<Member> members) {
        return new FleetUpdate(
                DeflateCodec.deflate(configuration.json()), configuration.version(), 0, endpoints, members);
    }

    /** An update with only the delta from one configuration to the other. */
    static FleetUpdate delta(Configuration from, Configuration to) {
        return new FleetUpdate(
                DeflateCodec.deflate(ConfigurationDelta.between(from, to)), to.version(), from.version(), null, null);
    }

    /** An update without a configuration; the members are null if it does not contain them. */
    static FleetUpdate endpoints(EndpointList endpoints, List<Member> members) {
        return new FleetUpdate(null, 0, 0, endpoints, members);
    }

    /** An update with members only. */
    static FleetUpdate members(List<Member> members) {
        return new FleetUpdate(null, 0, 0, null, members);
    }

    static EndpointList endpointList(EndpointListVersion version, Endpoint... endpoints) {
        return new EndpointList(version, List.of(endpoints));
    }
}
