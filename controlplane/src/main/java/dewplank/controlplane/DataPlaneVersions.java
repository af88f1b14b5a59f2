package dewplank.controlplane;

import dewplank.membership.SessionTable;
import dewplank.message.EndpointListVersion;
import dewplank.message.FleetUpdate;
import dewplank.message.SessionHeartbeat;

/**
 * The versions of the fleet state that a data plane has: those that it reported in its first heartbeat, replaced by
 * those of updates sent to it since. Links deliver in order, so an update that was sent counts as received. There is
 * one instance per session. Must be used on the loop's thread only.
 */
final class DataPlaneVersions {
    private long configurationVersion;
    private EndpointListVersion listVersion = EndpointListVersion.NONE;
    private long membersDigest;
    private boolean reported;

    /** Version of its configuration; 0 if it has none. */
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

    /** Whether the data plane has reported its versions; until then no update can be computed for it. */
    boolean areReported() {
        return reported;
    }

    /** Stores the versions of the first heartbeat; later heartbeats may report versions older than those sent since. */
    void onHeartbeat(SessionHeartbeat heartbeat) {
        if (!reported) {
            reported = true;
            configurationVersion = heartbeat.configurationVersion;
            listVersion = heartbeat.listVersion;
            membersDigest = heartbeat.membersDigest;
        }
    }

    /** Records the versions of an update that is about to be sent. */
    void onUpdate(FleetUpdate update) {
        configurationVersion = Math.max(configurationVersion, update.configurationVersion);
        listVersion = update.endpointList == null ? listVersion : update.endpointList.version;
        membersDigest = update.members == null ? membersDigest : SessionTable.digest(update.members);
    }
}
