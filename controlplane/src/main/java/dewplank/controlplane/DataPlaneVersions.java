package dewplank.controlplane;

import dewplank.message.EndpointListVersion;

/**
 * The versions of the fleet's state that a data plane has: as it reported them in its first heartbeat, and as they were
 * sent to it since. One to a session, on the loop's thread only.
 */
final class DataPlaneVersions {
    /** Version of its configuration; 0 where it has none. */
    long configurationVersion;

    /** Version of its endpoint list. */
    EndpointListVersion listVersion = EndpointListVersion.NONE;

    /** Digest of its list of members. */
    long membersDigest;
}
