package dewplank.message;

import dewplank.membership.Member;
import java.util.List;

/** What is newer than a data plane holds; a part that has not changed is null. */
public final class FleetUpdate {
    /** The configuration, deflated: whole, or as a delta on {@link #baseVersion}. */
    public final byte[] configuration;

    public final long configurationVersion;
    /** 0: the configuration is whole. */
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
