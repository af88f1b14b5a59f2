package dewplank.message;

import dewplank.membership.Member;
import java.util.List;

/** An update that sends a data plane newer state than it has. The field of a part that has not changed is null. */
public final class FleetUpdate {
    /**
     * The configuration, compressed by {@link dewplank.configuration.DeflateCodec}: either complete, or a delta against
     * {@link #baseVersion}.
     */
    public final byte[] configuration;

    public final long configurationVersion;
    /** The version to which the delta applies; 0 if the configuration is complete. */
    public final long baseVersion;

    public final EndpointList endpointList;
    public final List<Member> members;

    public FleetUpdate(
            byte[] configuration,
            long configurationVersion,
            long baseVersion,
            EndpointList endpointList,
            List<Member> members) {
        this.configuration = configuration;
        this.configurationVersion = configurationVersion;
        this.baseVersion = baseVersion;
        this.endpointList = endpointList;
        this.members = members;
    }
}
