package dewplank.message;

/**
 * A data plane's heartbeat, which renews its session and reports the versions that it has.
 *
 * <p>The control plane immediately replies with a {@link HeartbeatAck}, and sends a {@link FleetUpdate} as soon as it
 * has newer versions.
 */
public final class SessionHeartbeat {
    /** The heartbeat's number within the session; the {@link HeartbeatAck} repeats it. */
    public final long sequence;

    /** The version of the data plane's configuration; 0 before the first. */
    public final long configurationVersion;

    public final EndpointListVersion listVersion;
    /** Digest of the membership that the data plane has; 0 before the first membership. */
    public final long membersDigest;

    public SessionHeartbeat(
            long sequence, long configurationVersion, EndpointListVersion listVersion, long membersDigest) {
        this.sequence = sequence;
        this.configurationVersion = configurationVersion;
        this.listVersion = listVersion;
        this.membersDigest = membersDigest;
    }
}
