package dewplank.controlplane;

import dewplank.membership.SessionTable;
import dewplank.message.EndpointListVersion;
import dewplank.message.FleetUpdate;
import dewplank.message.SessionHeartbeat;

/**
 * The versions of the fleet's state that a data plane has: as it reported them in its first heartbeat, and as they were
 * sent to it since. Links deliver in order, so what was sent counts as received. One per session; on the loop's thread
 * only.
 */
final class DataPlaneVersions {
    private long configurationVersion;
    private EndpointListVersion listVersion = EndpointListVersion.NONE;
    private long membersDigest;
    private boolean reported;

    /** Version of its configuration; 0 where it has none. */
    long configurationVersion() {
        return configurationVersion;
    }

    /** Version of its endpoint list. */
    EndpointListVersion listVersion() {
        return listVersion;
    }

    /** Digest of its list of members. */
    long membersDigest() {
        return membersDigest;
    }

    /** Whether the data plane has reported its versions; before that no difference to them can be computed. */
    boolean areReported() {
        return reported;
    }

    /** Takes the report of the first heartbeat; later ones may be older than what was sent meanwhile. */
    void onHeartbeat(SessionHeartbeat heartbeat) {
        if (!reported) {
            reported = true;
            configurationVersion = heartbeat.configurationVersion;
            listVersion = heartbeat.listVersion;
            membersDigest = heartbeat.membersDigest;
        }
    }

    /** The update is about to be sent. */
    void onUpdate(FleetUpdate update) {
        configurationVersion = Math.max(configurationVersion, update.configurationVersion);
        listVersion = update.endpointList == null ? listVersion : update.endpointList.version;
        membersDigest = update.members == null ? membersDigest : SessionTable.digest(update.members);
    }
}
